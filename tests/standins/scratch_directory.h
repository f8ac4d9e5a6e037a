#pragma once

#include <filesystem>

namespace bronzechute::standins {

/** A new directory for temporary files, removed with its content at the end. */
class scratch_directory
{
public:
    scratch_directory();
    ~scratch_directory();
    scratch_directory(const scratch_directory &) = delete;
    scratch_directory &operator=(const scratch_directory &) = delete;

    const std::filesystem::path &path() const
    {
        return m_path;
    }

private:
    std::filesystem::path m_path;
};

} // namespace bronzechute::standins
