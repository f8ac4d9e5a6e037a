#include "balance/account_shares.h"

#include "balance/jain_index.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bronzechute {

namespace {

// Work counts by its age. An account that stops to flood is treated like the others again after this time.
constexpr double memorySeconds = 5.0;
// Shares are measured over few requests, and by summaries of other gateways that are some 100 ms old.
constexpr double askedTolerance = 0.1;
// Of accounts that all ask for more than the level, only those that got clearly less go before the others.
constexpr double leastShareOfLevel = 0.7;
constexpr double negligibleTokens = 0.5;
// Accounts of earlier configurations are dropped when there are more than this.
constexpr std::size_t maxAccounts = 4096;

double workIn(std::int64_t tokens)
{
    return static_cast<double>(std::max<std::int64_t>(1, tokens));
}

/** @returns the level up to which the capacity covers all that is asked for, if no account gets more than it. */
double fairLevel(std::vector<double> asked, double capacity)
{
    std::ranges::sort(asked);
    double left = capacity;
    for (std::size_t index = 0; index < asked.size(); ++index) {
        const double level = left / static_cast<double>(asked.size() - index);
        if (asked[index] >= level) {
            return level;
        }
        left -= asked[index];
    }
    return asked.empty() ? 0 : asked.back();
}

} // namespace

account_shares::own_work account_shares::at(const own_work &work, time_point now)
{
    const double kept =
        std::exp(-std::max(0.0, std::chrono::duration<double>(now - work.updatedAt).count()) / memorySeconds);
    return {work.started * kept, work.refused * kept, now};
}

account_shares::own_work &account_shares::workOf(const std::string &account, time_point now)
{
    if (m_own.size() >= maxAccounts && !m_own.contains(account)) {
        std::erase_if(m_own, [now](const auto &entry) {
            const own_work work = at(entry.second, now);
            return work.started + work.refused < negligibleTokens;
        });
    }
    own_work &work = m_own[account];
    work = at(work, now);
    return work;
}

void account_shares::recordStarted(const std::string &account, std::int64_t tokens, time_point now)
{
    workOf(account, now).started += workIn(tokens);
}

void account_shares::recordRefused(const std::string &account, std::int64_t tokens, time_point now)
{
    workOf(account, now).refused += workIn(tokens);
}

void account_shares::setOthers(work_by_account started, work_by_account refused)
{
    m_othersStarted = std::move(started);
    m_othersRefused = std::move(refused);
}

account_shares::work_by_account account_shares::started(time_point now) const
{
    work_by_account work;
    for (const auto &[account, own] : m_own) {
        if (const auto tokens = std::llround(at(own, now).started); tokens > 0) {
            work.emplace(account, tokens);
        }
    }
    return work;
}

account_shares::work_by_account account_shares::refused(time_point now) const
{
    work_by_account work;
    for (const auto &[account, own] : m_own) {
        if (const auto tokens = std::llround(at(own, now).refused); tokens > 0) {
            work.emplace(account, tokens);
        }
    }
    return work;
}

std::map<std::string, account_shares::total_work> account_shares::totals(time_point now) const
{
    std::map<std::string, total_work> all;
    const auto add = [&all](const std::string &account, double started, double refused) {
        total_work &work = all[account];
        work.started += started;
        work.asked += started + refused;
    };
    for (const auto &[account, own] : m_own) {
        const own_work work = at(own, now);
        add(account, work.started, work.refused);
    }
    for (const auto &[account, tokens] : m_othersStarted) {
        add(account, std::max(0.0, static_cast<double>(tokens)), 0);
    }
    for (const auto &[account, tokens] : m_othersRefused) {
        add(account, 0, std::max(0.0, static_cast<double>(tokens)));
    }
    std::erase_if(all, [](const auto &entry) { return entry.second.asked < negligibleTokens; });
    return all;
}

std::set<std::string> account_shares::overShare(time_point now) const
{
    const auto all = totals(now);
    std::vector<double> asked;
    double capacity = 0;
    for (const auto &[account, work] : all) {
        asked.push_back(work.asked);
        capacity += work.started;
    }
    const double level = fairLevel(std::move(asked), capacity);
    std::set<std::string> over;
    std::size_t askForMore = 0;
    for (const auto &[account, work] : all) {
        // Callers without an account are many, not one.
        if (account.empty() || work.asked <= (1 + askedTolerance) * level) {
            continue;
        }
        ++askForMore;
        if (work.started > leastShareOfLevel * level) {
            over.insert(account);
        }
    }
    // Where most ask for more, none takes the room of the others, and their requests have the usual order.
    return 2 * askForMore <= all.size() ? over : std::set<std::string> {};
}

double account_shares::fairness(time_point now) const
{
    std::vector<double> shares;
    for (const auto &[account, work] : totals(now)) {
        shares.push_back(work.started / work.asked);
    }
    return jainIndex(shares);
}

} // namespace bronzechute
