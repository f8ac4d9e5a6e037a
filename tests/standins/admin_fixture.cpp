#include "standins/admin_fixture.h"

#include "base/sha256.h"
#include "config/configuration_parser.h"

#include <stdexcept>

namespace bronzechute {

http_reply admin_fixture::send(const std::string &method, const std::string &target, const std::string &body,
                               const std::string &key)
{
    http_request request;
    request.method = method;
    request.path = target.substr(0, target.find('?'));
    request.query = target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1);
    request.body = body;
    if (!key.empty()) {
        request.headers.emplace_back("Authorization", "Bearer " + key);
    }
    return m_api.handle(request);
}

configuration documentWithTeams()
{
    const std::string yaml = "schema: 1\n"
                             "pools:\n"
                             "  - {name: p, kind: model, labels: {tier: fast}, members: model=m, model: m}\n"
                             "  - {name: q, kind: model, labels: {tier: slow}, members: model=m, model: m}\n"
                             "classes:\n"
                             "  - {name: c, pools: tier=fast, priority: 3}\n"
                             "  - {name: d, pools: tier=slow, priority: 4}\n"
                             "data_centres: [{name: obuda, state: in_service}]\n"
                             "teams:\n"
                             "  - {name: root, operator: true, key_hashes: ["
        + sha256Hex("rootkey") + "]}\n  - {name: drafters, pools: [p], classes: [c], key_hashes: ["
        + sha256Hex("teamkey") + "]}\n";
    return parseConfiguration(yaml).content.value();
}

std::string replaced(const configuration &content, const std::string &text, const std::string &replacement)
{
    std::string document = toYaml(content);
    const auto place = document.find(text);
    if (place == std::string::npos) {
        throw std::invalid_argument("no " + text + " in " + document);
    }
    return document.replace(place, text.size(), replacement);
}

} // namespace bronzechute
