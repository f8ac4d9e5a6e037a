#include "settings/settings_reader.h"

#include "config/text_check.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <string_view>

namespace bronzechute {

namespace {

constexpr std::int64_t maxTimeoutMs = 60LL * 60 * 1000;
constexpr std::int64_t maxConcurrencyLimit = 100000;

// A request is sent in one frame of at most 4 MiB, of which 64 KiB are reserved for headers and other fields.
constexpr std::int64_t maxBodyBytes = 4LL * 1024 * 1024 - 64LL * 1024;
// A process of any role needs about 10 MB before its first request.
constexpr std::int64_t minMemoryMb = 24;
constexpr std::int64_t maxMemoryMb = 1024LL * 1024;
constexpr std::size_t bytesPerMegabyte = 1000UL * 1000;
// 200 are left to files, the store and the other processes.
constexpr std::int64_t minDescriptors = 256;
constexpr std::int64_t maxDescriptors = 1024LL * 1024;

/** @param schemes accepted schemes with "://"
 * @returns whether the text has the form SCHEME://HOST:PORT */
bool isBaseUrl(std::string_view text, const std::vector<std::string_view> &schemes)
{
    for (const std::string_view scheme : schemes) {
        if (!text.starts_with(scheme)) {
            continue;
        }
        const std::string_view rest = text.substr(scheme.size());
        const auto colon = rest.find(':');
        if (colon == std::string_view::npos || !isName(rest.substr(0, colon))) {
            return false;
        }
        return parsePort(rest.substr(colon + 1)).value_or(0) != 0;
    }
    return false;
}

daemon_role readRole(document_mapping &document)
{
    const std::string name = document.choice("role", {"entry", "endpoint", "gateway"}, true);
    for (const daemon_role role : {daemon_role::endpoint, daemon_role::gateway}) {
        if (name == roleName(role)) {
            return role;
        }
    }
    return daemon_role::entry;
}

/** Reads a number from 0 to 1. */
double readFraction(document_mapping &node, const std::string &key, double fallback)
{
    const std::string text = node.text(key);
    if (text.empty()) {
        return fallback;
    }
    double share = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), share);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || share < 0 || share > 1) {
        node.report(key, "a number from 0 to 1");
        return fallback;
    }
    return share;
}

} // namespace

const char *roleName(daemon_role role)
{
    switch (role) {
    case daemon_role::entry:
        return "entry";
    case daemon_role::endpoint:
        return "endpoint";
    case daemon_role::gateway:
        return "gateway";
    }
    return "entry";
}

daemon_settings settings_reader::read(const std::string &yaml)
{
    document_mapping document = document_mapping::load(yaml, m_problems);
    if (!document.isReadable()) {
        return m_settings;
    }
    m_settings.role = readRole(document);
    m_settings.node = document.requiredName("node");
    m_settings.dataCentre = document.requiredName("data_centre");
    m_settings.region = document.text("region");
    if (!m_settings.region.empty() && !isName(m_settings.region)) {
        document.report("region", nameExpectation);
    }
    m_settings.listen = readListen(document.mapping("listen"));
    if (checkAllowedFor({daemon_role::entry, daemon_role::gateway}, document, "store")) {
        readStore(document.mapping("store"));
    }
    if (checkAllowedFor({daemon_role::entry}, document, "entry")) {
        readEntry(document.mapping("entry"));
    }
    if (checkAllowedFor({daemon_role::endpoint}, document, "endpoint")) {
        m_settings.endpoint = readEndpoint(document.mapping("endpoint"));
    }
    if (checkAllowedFor({daemon_role::gateway}, document, "gateway")) {
        readGateway(document.mapping("gateway"));
    }
    document_mapping limits = document.mapping("limits");
    m_settings.bodyLimit = static_cast<std::size_t>(
        limits.integer("body_bytes", 1, maxBodyBytes, static_cast<std::int64_t>(m_settings.bodyLimit)));
    m_settings.memoryLimit =
        static_cast<std::size_t>(limits.integer("memory_mb", minMemoryMb, maxMemoryMb, 0)) * bytesPerMegabyte;
    m_settings.maxDescriptors =
        static_cast<std::size_t>(limits.integer("max_descriptors", minDescriptors, maxDescriptors, 0));
    limits.rejectUnknownKeys();
    m_settings.drainTimeout = std::chrono::milliseconds(
        document.integer("drain_timeout_ms", 0, maxTimeoutMs, m_settings.drainTimeout.count()));
    document_mapping log = document.mapping("log");
    m_settings.logLevel = log.choice("level", {"info", "trace", "debug", "warn", "error"});
    m_settings.logFile = log.text("file");
    log.rejectUnknownKeys();
    document.rejectUnknownKeys();
    return m_settings;
}

listen_settings settings_reader::readListen(document_mapping node)
{
    listen_settings listen;
    listen.http = readAddress(node, "http", true, 0).value_or(listen.http);
    listen.peers = readAddress(node, "peers", true, 0).value_or(listen.peers);
    if (checkAllowedFor({daemon_role::entry}, node, "admin")) {
        listen.admin = readAddress(node, "admin", false, 0);
    }
    document_mapping tls = node.mapping("tls");
    if (node.has("tls")) {
        listen.tlsCertificate = tls.requiredText("certificate", "a PEM file");
        listen.tlsKey = tls.requiredText("key", "a PEM file");
    }
    tls.rejectUnknownKeys();
    node.rejectUnknownKeys();
    return listen;
}

void settings_reader::readStore(document_mapping node)
{
    constexpr const char *expected = "http://HOST:PORT or https://HOST:PORT";
    m_settings.storeEndpoints = node.texts("endpoints");
    if (!node.has("endpoints") || m_settings.storeEndpoints.empty()) {
        node.report("endpoints", "a list of at least one " + std::string(expected));
    }
    for (std::size_t index = 0; index < m_settings.storeEndpoints.size(); ++index) {
        const std::string &url = m_settings.storeEndpoints[index];
        if (!isBaseUrl(url, {"http://", "https://"})) {
            node.reportItem("endpoints", index, "\"" + url + "\"", expected);
        }
    }
    m_settings.storeTimeout =
        std::chrono::milliseconds(node.integer("timeout_ms", 1, maxTimeoutMs, m_settings.storeTimeout.count()));
    node.rejectUnknownKeys();
}

void settings_reader::readEntry(document_mapping node)
{
    m_settings.endpoints = readPeers(node, "endpoints");
    m_settings.peers = readPeers(node, "peers");
    node.rejectUnknownKeys();
}

void settings_reader::readGateway(document_mapping node)
{
    constexpr std::int64_t maxFixedRepeats = 1000000;
    m_settings.gateway.status = readAddress(node, "status", true, 0).value_or(m_settings.gateway.status);
    const std::vector<std::string> seeds = node.texts("seeds");
    for (std::size_t index = 0; index < seeds.size(); ++index) {
        if (const auto address = parseSocketAddress(seeds[index])) {
            m_settings.gateway.seeds.push_back(*address);
        } else {
            node.reportItem("seeds", index, "\"" + seeds[index] + "\"", "IP:PORT");
        }
    }
    retry_limits &repeats = m_settings.gateway.repeats;
    repeats.window =
        std::chrono::milliseconds(node.integer("repeat_window_ms", 1, maxTimeoutMs, repeats.window.count()));
    repeats.share = readFraction(node, "repeat_share", repeats.share);
    repeats.fixed =
        static_cast<double>(node.integer("repeat_fixed", 0, maxFixedRepeats, static_cast<std::int64_t>(repeats.fixed)));
    node.rejectUnknownKeys();
}

endpoint_settings settings_reader::readEndpoint(document_mapping node)
{
    constexpr const char *urlExpectation = "http://HOST:PORT";
    endpoint_settings endpoint;
    endpoint.labels = node.labels("labels");
    document_mapping engine = node.mapping("engine");
    endpoint.kind =
        engine.choice("kind", {"model", "service"}, true) == "model" ? endpoint_kind::model : endpoint_kind::service;
    endpoint.engineUrl = engine.requiredText("url", urlExpectation);
    if (!endpoint.engineUrl.empty() && !isBaseUrl(endpoint.engineUrl, {"http://"})) {
        engine.report("url", urlExpectation);
    }
    endpoint.models = engine.texts("models");
    if (endpoint.kind == endpoint_kind::model && endpoint.models.empty()) {
        engine.report("models", "a list of at least one model, because the kind is model");
    } else if (endpoint.kind == endpoint_kind::service && engine.has("models")) {
        engine.report("models", "no models, because the kind is service");
    }
    endpoint.engineIdleTimeout = std::chrono::milliseconds(
        engine.integer("idle_timeout_ms", 1, maxTimeoutMs, endpoint.engineIdleTimeout.count()));
    engine.rejectUnknownKeys();
    endpoint.maxConcurrency =
        static_cast<int>(node.integer("max_concurrency", 1, maxConcurrencyLimit, endpoint.maxConcurrency));
    endpoint.queueLength = static_cast<int>(node.integer("queue_length", 0, maxConcurrencyLimit, endpoint.queueLength));
    node.rejectUnknownKeys();
    return endpoint;
}

std::optional<socket_address> settings_reader::readAddress(document_mapping &node, const std::string &key,
                                                           bool required, int minPort)
{
    const std::string expected = minPort == 0 ? "an IPv4 address and port such as 127.0.0.1:8080"
                                              : "an IPv4 address and port such as 127.0.0.1:8080, port not 0";
    const std::string text = required ? node.requiredText(key, expected) : node.text(key);
    if (text.empty()) {
        return std::nullopt;
    }
    auto address = parseSocketAddress(text);
    if (!address || address->port < minPort) {
        node.report(key, expected);
        return std::nullopt;
    }
    return address;
}

std::vector<peer_settings> settings_reader::readPeers(document_mapping &node, const std::string &key)
{
    std::vector<peer_settings> peers;
    std::set<std::string> names;
    node.forEach(key, [&](document_mapping &item) {
        peer_settings peer;
        peer.name = item.requiredName("name");
        if (!peer.name.empty() && !names.insert(peer.name).second) {
            item.reportFound("name", "\"" + peer.name + "\" a second time", "a name of its own for each process");
        }
        peer.address = readAddress(item, "address", true, 1).value_or(peer.address);
        peers.push_back(peer);
    });
    return peers;
}

bool settings_reader::checkAllowedFor(std::initializer_list<daemon_role> roles, document_mapping &node,
                                      const std::string &key)
{
    if (std::ranges::find(roles, m_settings.role) != roles.end()) {
        return true;
    }
    if (node.has(key)) {
        node.reportFound(key, "the key", std::string("no such key, because the role is ") + roleName(m_settings.role));
    }
    node.mapping(key); // Marks the key as read, so that rejectUnknownKeys() does not report it again.
    return false;
}

} // namespace bronzechute
