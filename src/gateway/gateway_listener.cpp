#include "gateway/gateway_listener.h"

#include "observe/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace bronzechute {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr int listenBacklog = 1024;
// Delay before the next accept, as it fails while file descriptors or memory are exhausted.
constexpr std::chrono::milliseconds acceptRetryDelay {50};

} // namespace

gateway_listener::gateway_listener(asio::io_context &loop, request_handler &handler, const session_options &options,
                                   memory_budget &budget, std::size_t maxConnections)
    : m_acceptor(loop)
    , m_retryTimer(loop)
    , m_handler(handler)
    , m_options(options)
    , m_budget(budget)
    , m_maxConnections(maxConnections)
{
}

boost::system::error_code gateway_listener::start(const socket_address &address)
{
    boost::system::error_code code;
    const tcp::endpoint local(asio::ip::make_address_v4(address.host, code), address.port);
    if (!code) {
        m_acceptor.open(tcp::v4(), code);
    }
    if (!code) {
        m_acceptor.set_option(asio::socket_base::reuse_address(true), code);
    }
    if (!code) {
        m_acceptor.bind(local, code);
    }
    if (!code) {
        m_acceptor.listen(listenBacklog, code);
    }
    if (!code) {
        accept();
    }
    return code;
}

std::string gateway_listener::address() const
{
    boost::system::error_code ignored; // An acceptor that was not started has no address.
    const tcp::endpoint local = m_acceptor.local_endpoint(ignored);
    return local.address().to_string() + ":" + std::to_string(local.port());
}

void gateway_listener::accept()
{
    if (!m_acceptor.is_open()) {
        return;
    }
    m_acceptor.async_accept([this](const boost::system::error_code &code, tcp::socket socket) {
        if (code == asio::error::operation_aborted) {
            return;
        }
        if (code) {
            logLine(log_level::warn, "gateway", "failed to accept a connection", {{"cause", code.message()}});
            m_retryTimer.expires_after(acceptRetryDelay);
            m_retryTimer.async_wait([this](const boost::system::error_code &aborted) {
                if (!aborted) {
                    accept();
                }
            });
            return;
        }
        admit(std::move(socket));
        accept();
    });
}

void gateway_listener::admit(tcp::socket socket)
{
    if (m_open >= m_maxConnections) {
        ++m_displaced;
        if (!closeOne()) {
            return; // Each one serves a request. The new connection is closed before anything is read from it.
        }
    }
    const auto session = std::make_shared<caller_session>(std::move(socket), m_handler, m_options, *this, m_budget);
    m_sessions.insert(session);
    ++m_open;
    session->start();
}

bool gateway_listener::closeOne()
{
    caller_session *first = nullptr;
    for (const auto &session : m_sessions) {
        if (!session->replaceable()) {
            continue;
        }
        const auto order = [](const caller_session &each) {
            return std::pair(each.busy(), each.phaseSince());
        };
        if (first == nullptr || order(*session) < order(*first)) {
            first = session.get();
        }
    }
    if (first == nullptr) {
        return false;
    }
    first->close();
    return true;
}

void gateway_listener::onSessionClosed(const std::shared_ptr<caller_session> &session)
{
    --m_open;
    // Later, as a session may close while closeIdle() goes through them.
    asio::post(m_acceptor.get_executor(), [this, session] { m_sessions.erase(session); });
}

void gateway_listener::closeIdle(bool alsoUnused)
{
    for (const auto &session : m_sessions) {
        session->closeIfIdle(alsoUnused);
    }
}

void gateway_listener::endRequests()
{
    for (const auto &session : m_sessions) {
        session->endRequest();
    }
}

std::size_t gateway_listener::busyCount()
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_sessions, [](const auto &session) { return session->busy(); }));
}

void gateway_listener::stop()
{
    boost::system::error_code code;
    m_acceptor.non_blocking(true, code);
    while (!code) {
        tcp::socket socket(m_acceptor.get_executor());
        m_acceptor.accept(socket, code);
        if (!code) {
            admit(std::move(socket));
        }
    }
    m_acceptor.close(code); // Nothing to handle: the process is shutting down.
    m_retryTimer.cancel();
}

} // namespace bronzechute
