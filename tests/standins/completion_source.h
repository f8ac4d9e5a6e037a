#pragma once

#include "http/body_source.h"
#include "standins/completion_format.h"
#include "standins/engine_batch.h"

#include <memory>
#include <string>

namespace bronzechute::standins {

/** The body of one completion, streamed or whole, as the batch produces it. */
class completion_source : public body_source
{
public:
    completion_source(const completion_request &request, completion_format format,
                      std::shared_ptr<engine_sequence> sequence, engine_batch &batch, fault_board &faults);

    ssize_t read(char *buffer, std::size_t capacity) override;
    void onClosed() override;

private:
    /** Puts the next part into m_pending. @returns false when the answer is cut. */
    bool produce();
    bool produceEvents();
    bool produceWhole();

    const completion_request m_request;
    const completion_format m_format;
    const std::shared_ptr<engine_sequence> m_sequence;
    engine_batch &m_batch;
    fault_board &m_faults;
    std::size_t m_next; ///< Index of the next token to write.
    std::string m_pending;
    bool m_complete = false;
    bool m_cut = false; ///< m_pending is the last part.
};

} // namespace bronzechute::standins
