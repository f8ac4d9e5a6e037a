#include "node/server_options.h"

#include "base/process_memory.h"

#include <algorithm>

namespace bronzechute {

namespace {

// libmicrohttpd and ulfius read a body before the handler sees it, so that each connection may hold a whole one, and
// the handler's copy of it beside its thread.
constexpr std::size_t bodyCopies = 2;
constexpr std::size_t threadBytes = std::size_t {256} * 1024;
constexpr std::size_t connectionsDivisor = 3;
// A request that is handled has further copies of its body: of the request, of its frame and in the queue of its link.
constexpr std::size_t handlerCopies = 4;
constexpr std::size_t handledDivisor = 6;
// Descriptors for files, the store and other processes; half of the others are for callers.
constexpr std::size_t reservedDescriptors = 200;
constexpr std::size_t fewestConnections = 8;

std::size_t memoryOf(const daemon_settings &settings)
{
    return settings.memoryLimit == 0 ? machineMemory() : settings.memoryLimit;
}

std::size_t maxConnections(const daemon_settings &settings)
{
    const std::size_t descriptors = settings.maxDescriptors == 0 ? descriptorLimit() : settings.maxDescriptors;
    const std::size_t byMemory =
        memoryOf(settings) / connectionsDivisor / (bodyCopies * settings.bodyLimit + threadBytes);
    const std::size_t byDescriptors = (std::max(descriptors, reservedDescriptors) - reservedDescriptors) / 2;
    return std::max(fewestConnections, std::min(byMemory, byDescriptors));
}

} // namespace

result<http_server_options> makeServerOptions(const daemon_settings &settings, const socket_address &address)
{
    http_server_options options;
    options.address = address.host;
    options.port = address.port;
    options.bodyLimit = settings.bodyLimit;
    options.maxConnections = maxConnections(settings);
    options.handledBodyBytes = memoryOf(settings) / handledDivisor / handlerCopies;
    if (settings.listen.tlsCertificate.empty()) {
        return options;
    }
    auto certificate = readTextFile(settings.listen.tlsCertificate);
    if (!certificate) {
        return certificate.error();
    }
    auto key = readTextFile(settings.listen.tlsKey);
    if (!key) {
        return key.error();
    }
    options.tlsCertificate = certificate.value();
    options.tlsKey = key.value();
    return options;
}

} // namespace bronzechute
