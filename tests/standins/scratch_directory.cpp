#include "standins/scratch_directory.h"

#include <random>
#include <string>
#include <system_error>

namespace bronzechute::standins {

scratch_directory::scratch_directory()
{
    std::random_device entropy;
    m_path = std::filesystem::temp_directory_path() / ("bronzechute-" + std::to_string(entropy()));
    std::filesystem::create_directories(m_path);
}

scratch_directory::~scratch_directory()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

} // namespace bronzechute::standins
