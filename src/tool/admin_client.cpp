#include "tool/admin_client.h"

#include "base/scope_guard.h"

#include <ulfius.h>

namespace bronzechute {

namespace {

constexpr const char *sendStep = "admin.send";

} // namespace

admin_client::admin_client(std::string server, std::string key, std::chrono::seconds timeout)
    : m_server(std::move(server)), m_key(std::move(key)), m_timeout(timeout)
{
}

result<admin_response> admin_client::send(const std::string &method, const std::string &target, const std::string &body)
{
    // ulfius reports a refused connection and a lost response as the same error. A GET request first checks that the
    // server is reachable, so that a later change without a response is reported as outcome_unknown.
    if (method != "GET" && !m_serverResponded) {
        if (auto probe = exchange("GET", "/admin/v1/status", ""); !probe) {
            return probe;
        }
    }
    auto response = exchange(method, target, body);
    m_serverResponded = m_serverResponded || response;
    if (!response && method != "GET") {
        return error {errc::outcome_unknown, sendStep, m_server,
                      "no answer to the change; read the configuration before trying again"};
    }
    return response;
}

result<admin_response> admin_client::exchange(const std::string &method, const std::string &target,
                                              const std::string &body)
{
    _u_request request {};
    _u_response response {};
    if (ulfius_init_request(&request) != U_OK) {
        return error {errc::unavailable, sendStep, m_server, "ulfius_init_request failed"};
    }
    const scope_guard cleanRequest([&] { ulfius_clean_request(&request); });
    if (ulfius_init_response(&response) != U_OK) {
        return error {errc::unavailable, sendStep, m_server, "ulfius_init_response failed"};
    }
    const scope_guard cleanResponse([&] { ulfius_clean_response(&response); });
    ulfius_set_request_properties(&request, U_OPT_HTTP_VERB, method.c_str(), U_OPT_HTTP_URL,
                                  (m_server + target).c_str(), U_OPT_TIMEOUT,
                                  static_cast<unsigned long>(m_timeout.count()), U_OPT_NONE);
    if (!body.empty()) {
        ulfius_set_request_properties(&request, U_OPT_BINARY_BODY, body.data(), body.size(), U_OPT_NONE);
    }
    if (!m_key.empty()) {
        ulfius_set_request_properties(&request, U_OPT_HEADER_PARAMETER, "Authorization", ("Bearer " + m_key).c_str(),
                                      U_OPT_NONE);
    }
    if (ulfius_send_http_request(&request, &response) != U_OK) {
        return error {errc::unavailable, sendStep, m_server, "no answer"};
    }
    admin_response copy;
    copy.status = static_cast<int>(response.status);
    if (response.binary_body != nullptr) {
        copy.body.assign(static_cast<const char *>(response.binary_body), response.binary_body_length);
    }
    if (const char *warning = u_map_get_case(response.map_header, "X-Bronzechute-Warning")) {
        copy.warning = warning;
    }
    return copy;
}

} // namespace bronzechute
