#pragma once

#include "backend/back_end_request.h"
#include "base/error.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bronzechute {

/**
 * Receives one answer of a back end. All calls are made from one thread, in this order: onHead once, onBytes any number
 * of times, then either onEnd or onError once. onError may be called at any point.
 */
class answer_sink
{
public:
    virtual ~answer_sink() = default;
    virtual void onHead(int status, const header_list &headers) = 0;

    /** @returns false to cancel the transfer. */
    virtual bool onBytes(std::string_view bytes) = 0;
    virtual void onEnd() = 0;

    /**
     * @param mayHaveRun false only when the back end certainly did not receive the request, for example because the
     *        connection was refused.
     */
    virtual void onError(const error &failure, bool mayHaveRun) = 0;
};

/** One running transfer. Destroying the handle does not cancel it. Safe to call from any thread. */
class transfer
{
public:
    virtual ~transfer() = default;

    /** Stops the transfer and closes its connection; the sink gets onError with errc::cancelled. */
    virtual void cancel() = 0;

    /** Stops reading from the back end until resume() is called, so that the socket applies backpressure. */
    virtual void pause() = 0;
    virtual void resume() = 0;
};

/** Load that a back end reports; the numbers may be out of date. */
struct back_end_load
{
    bool reachable = false;
    std::string startId; ///< Changes when the engine restarts; empty when the engine does not report it.
    double running = 0; ///< Requests in the running batch.
    double waiting = 0; ///< Requests queued in the engine.
    double cacheUsage = 0; ///< Fraction of the KV cache in use, 0..1.
    double tokens = 0; ///< Tokens generated since the engine started; 0 when it does not report them.
    double meanTokenSeconds = 0; ///< Mean time between tokens since the engine started; 0 when not reported.

    friend bool operator==(const back_end_load &, const back_end_load &) = default;
};

/** The engine or plain service that an endpoint process serves. */
class back_end
{
public:
    virtual ~back_end() = default;

    /** Starts the request. The sink is called from another thread. Does not block. */
    virtual std::shared_ptr<transfer> start(const back_end_request &request, std::shared_ptr<answer_sink> sink) = 0;

    /** Probes health and load; blocks up to one second. */
    virtual back_end_load probe() = 0;
};

} // namespace bronzechute
