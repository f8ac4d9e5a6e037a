#pragma once

#include "store/configuration_repository.h"

#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace bronzechute {

/** Accepted configurations in memory, with faults on request. */
class fake_repository : public configuration_repository
{
public:
    result<configuration_envelope> current() override;
    result<configuration_envelope> at(std::int64_t revision) override;
    result<std::vector<configuration_envelope>> history(std::size_t limit) override;
    result<configuration_envelope> propose(const configuration &content, std::int64_t baseRevision,
                                           const std::string &author) override;

    /** Each call of propose() first runs this, for example to make a competing change. */
    std::function<void()> beforePropose;
    std::optional<errc> proposeFault; ///< When set, propose() fails with it.
    std::optional<errc> readFault; ///< When set, reads fail with it.

    /** Accepts without any check. */
    void accept(const configuration &content, const std::string &author);

private:
    std::mutex m_mutex;
    std::vector<configuration_envelope> m_accepted; ///< Revision n at index n - 1.
};

} // namespace bronzechute
