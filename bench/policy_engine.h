#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <vector>

namespace bronzechute::policy_model {

/**
 * A model engine as a queueing model: continuous batching with a step time that grows with the batch, prefill in
 * chunks, a bounded prefix cache, and a cold start with a bearable load above which the engine fails.
 *
 * The constants describe no particular engine. At a batch of 32 it makes about 700 tokens a second.
 */
class engine
{
public:
    struct job
    {
        int request = 0;
        int prefix = 0;
        int tokensLeft = 0;
        int prefillLeft = -1; ///< Prompt tokens to compute; -1 until the job joins the batch.
        bool started = false; ///< Its first token is out.
    };

    struct step_result
    {
        std::vector<int> firstTokens;
        std::vector<int> finished;
    };

    static constexpr int mostInBatch = 48;
    static constexpr int answersToWarm = 24;
    static constexpr int coldBearable = 2;

    double slowness = 1; ///< Factor on the step time.
    int answers = answersToWarm; ///< Since the start.

    int load() const
    {
        return static_cast<int>(m_batch.size() + m_waiting.size());
    }

    int running() const
    {
        return static_cast<int>(m_batch.size());
    }

    bool cold() const
    {
        return answers < answersToWarm;
    }

    /** Requests that it bears now: 2 just after the start and 2 more with each answer. */
    int bearable() const
    {
        return cold() ? coldBearable + 2 * answers : 1000;
    }

    void add(int request, int prefix, int tokens)
    {
        m_waiting.push_back({request, prefix, tokens, -1, false});
    }

    void cancel(int request)
    {
        const auto same = [request](const job &each) {
            return each.request == request;
        };
        std::erase_if(m_batch, same);
        std::erase_if(m_waiting, same);
    }

    /** Becomes cold and keeps its work. */
    void loseWarmth()
    {
        m_cache.clear();
        answers = 0;
    }

    /** Drops all work and the cache, and becomes cold. @returns the requests that were lost. */
    std::vector<int> restart()
    {
        std::vector<int> lost;
        for (const auto &each : m_batch) {
            lost.push_back(each.request);
        }
        for (const auto &each : m_waiting) {
            lost.push_back(each.request);
        }
        m_batch.clear();
        m_waiting.clear();
        loseWarmth();
        return lost;
    }

    /** Fills the batch. @returns milliseconds of the step that begins now. */
    double beginStep()
    {
        while (!m_waiting.empty() && m_batch.size() < mostInBatch) {
            job next = m_waiting.front();
            m_waiting.pop_front();
            const bool cached = std::find(m_cache.begin(), m_cache.end(), next.prefix) != m_cache.end();
            next.prefillLeft = ownPromptTokens + (cached ? 0 : prefixTokens);
            m_batch.push_back(next);
        }
        int budget = prefillChunk;
        int decoding = 0;
        for (job &each : m_batch) {
            const int part = std::min(each.prefillLeft, budget);
            budget -= part;
            each.prefillLeft -= part;
            decoding += part == 0 ? 1 : 0;
        }
        const double coldFactor = answers < 8 ? 1 + 2 * (1 - answers / 8.0) : 1;
        return (20 + 0.8 * decoding + 0.05 * (prefillChunk - budget)) * slowness * coldFactor;
    }

    step_result endStep()
    {
        step_result result;
        for (job &each : m_batch) {
            if (each.prefillLeft != 0) {
                continue;
            }
            if (!each.started) {
                each.started = true;
                result.firstTokens.push_back(each.request);
                m_cache.remove(each.prefix);
                m_cache.push_back(each.prefix);
                if (m_cache.size() > cachedPrefixes) {
                    m_cache.pop_front();
                }
            }
            if (--each.tokensLeft <= 0) {
                result.finished.push_back(each.request);
                ++answers;
            }
        }
        std::erase_if(m_batch, [](const job &each) { return each.tokensLeft <= 0; });
        return result;
    }

private:
    static constexpr int ownPromptTokens = 100;
    static constexpr int prefixTokens = 1500;
    static constexpr int prefillChunk = 2048;
    static constexpr std::size_t cachedPrefixes = 12;

    std::vector<job> m_batch;
    std::deque<job> m_waiting;
    std::list<int> m_cache; ///< Least recently used first.
};

} // namespace bronzechute::policy_model
