#include "config/configuration_reader.h"

#include "config/text_check.h"

#include <algorithm>
#include <limits>

namespace bronzechute {

namespace {

constexpr std::int64_t supportedSchemaVersion = 1;
constexpr std::int64_t maxAccountShare = 1000000;
constexpr std::int64_t maxClassPriority = 9;
constexpr std::int64_t maxDeadlineMs = 24LL * 60 * 60 * 1000;

constexpr const char *prefixExpectation = "a path such as \"/orders\" that begins and does not end with '/'";

bool isPathPrefix(const std::string &text)
{
    return text.starts_with('/') && text.find_first_of("?#%;\\ \t\r\n") == std::string::npos
        && (text + "/").find("/./") == std::string::npos && (text + "/").find("/../") == std::string::npos
        && text.find("//") == std::string::npos;
}

std::chrono::milliseconds readDuration(document_mapping &node, const std::string &key,
                                       std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(node.integer(key, 1, maxDeadlineMs, fallback.count()));
}

} // namespace

configuration configuration_reader::read(document_mapping document, std::vector<configuration_problem> &problems)
{
    configuration content;
    document.integer("schema", supportedSchemaVersion, supportedSchemaVersion, supportedSchemaVersion, true);
    document.forEach("pools", [&](document_mapping &node) { content.pools.push_back(readPool(node)); });
    document.forEach("classes", [&](document_mapping &node) { content.classes.push_back(readClass(node)); });
    document.forEach("accounts", [&](document_mapping &node) { content.accounts.push_back(readAccount(node)); });
    document.forEach("services", [&](document_mapping &node) { content.services.push_back(readService(node)); });
    document.forEach("data_centres",
                     [&](document_mapping &node) { content.dataCentres.push_back(readDataCentre(node)); });
    document.forEach("endpoints", [&](document_mapping &node) { content.endpoints.push_back(readEndpoint(node)); });
    document.forEach("teams", [&](document_mapping &node) { content.teams.push_back(readTeam(node)); });
    document.rejectUnknownKeys();
    checkSelectorReferences(content.pools, problems);
    checkNameReferences(problems);
    if (!content.teams.empty()
        && std::none_of(content.teams.begin(), content.teams.end(),
                        [](const operator_team &team) { return team.isOperator && !team.keyHashes.empty(); })) {
        // Without an operator that has a key, nobody could change the teams any more.
        document.reportFound("teams", "no team with operator: true and a key", "at least one");
    }
    return content;
}

endpoint_pool configuration_reader::readPool(document_mapping &node)
{
    endpoint_pool pool;
    pool.name = readName(node, "pools");
    pool.kind =
        node.choice("kind", {"model", "service"}, true) == "model" ? endpoint_kind::model : endpoint_kind::service;
    pool.labels = node.labels("labels");
    pool.members = node.selectorAt("members");
    pool.model = node.text("model");
    if (pool.kind == endpoint_kind::model && pool.model.empty()) {
        node.report("model", "the name of a model, because the kind is model");
    } else if (pool.kind == endpoint_kind::service && node.has("model")) {
        node.report("model", "no model, because the kind is service");
    }
    return pool;
}

traffic_class configuration_reader::readClass(document_mapping &node)
{
    traffic_class each;
    each.name = readName(node, "classes");
    document_mapping match = node.mapping("match");
    const std::size_t problems = match.problemCount();
    each.accounts = readReferences(match, "accounts", "accounts", severity::error);
    each.models = match.texts("models");
    if (match.problemCount() == problems) {
        // Left out, they match all; a list from which the last name was taken away must not.
        requireNames(match, "accounts", each.accounts);
        requireNames(match, "models", each.models);
    }
    match.rejectUnknownKeys();
    each.pools = readPoolSelector(node, endpoint_kind::model);
    each.priority = static_cast<int>(node.integer("priority", 0, maxClassPriority, each.priority));
    each.deadline = readDuration(node, "deadline_ms", each.deadline);
    each.firstTokenTimeout =
        std::chrono::milliseconds(node.integer("first_token_ms", 0, maxDeadlineMs, each.firstTokenTimeout.count()));
    each.resumeElsewhere = node.boolean("resume_elsewhere", each.resumeElsewhere);
    if (node.has("first_token_ms") && each.firstTokenTimeout > each.deadline) {
        node.report("first_token_ms", "at most deadline_ms", severity::warning);
    }
    return each;
}

void configuration_reader::requireNames(document_mapping &node, const char *key, const std::vector<std::string> &names)
{
    if (node.has(key) && names.empty()) {
        node.reportFound(key, "an empty list", "at least one name");
    }
}

client_account configuration_reader::readAccount(document_mapping &node)
{
    client_account account;
    account.name = readName(node, "accounts");
    account.keyHashes = readKeyHashes(node, "accounts");
    account.share = static_cast<int>(node.integer("share", 1, maxAccountShare, account.share));
    return account;
}

plain_service configuration_reader::readService(document_mapping &node)
{
    plain_service service;
    service.name = readName(node, "services");
    service.prefix = node.requiredText("prefix", prefixExpectation);
    if (!service.prefix.empty() && (!isPathPrefix(service.prefix) || service.prefix.ends_with('/'))) {
        node.report("prefix", prefixExpectation);
    } else if (!service.prefix.empty() && !m_prefixes.insert(service.prefix).second) {
        node.reportFound("prefix", "\"" + service.prefix + "\" a second time", "a prefix of its own for each service");
    }
    service.pools = readPoolSelector(node, endpoint_kind::service);
    node.forEach("repeatable", [&](document_mapping &item) {
        repeatable_rule rule;
        rule.method = item.requiredText("method", "an HTTP method in upper case");
        if (rule.method.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") != std::string::npos) {
            item.report("method", "an HTTP method in upper case");
        }
        rule.path = item.requiredText("path", "a path that begins with '/'");
        if (!rule.path.empty() && !isPathPrefix(rule.path)) {
            item.report("path", "a path that begins with '/'");
        }
        service.repeatable.push_back(rule);
    });
    service.deadline = readDuration(node, "deadline_ms", service.deadline);
    service.readYourWrites = node.boolean("read_your_writes", service.readYourWrites);
    return service;
}

data_centre configuration_reader::readDataCentre(document_mapping &node)
{
    data_centre centre;
    centre.name = readName(node, "data_centres");
    centre.inService = node.choice("state", {"in_service", "out"}, true) == "in_service";
    return centre;
}

endpoint_override configuration_reader::readEndpoint(document_mapping &node)
{
    endpoint_override endpoint;
    endpoint.name = readName(node, "endpoints");
    endpoint.labels = node.labels("labels");
    endpoint.drained = node.boolean("drained", endpoint.drained);
    return endpoint;
}

operator_team configuration_reader::readTeam(document_mapping &node)
{
    operator_team team;
    team.name = readName(node, "teams");
    team.keyHashes = readKeyHashes(node, "teams");
    // A team may be granted a pool that it has not created yet.
    team.pools = readReferences(node, "pools", "pools", severity::warning);
    team.classes = readReferences(node, "classes", "classes", severity::warning);
    team.isOperator = node.boolean("operator", team.isOperator);
    return team;
}

std::string configuration_reader::readName(document_mapping &node, const std::string &section)
{
    std::string name = node.requiredName("name");
    if (!name.empty() && !m_names[section].insert(name).second) {
        node.reportFound("name", "\"" + name + "\" a second time", "a name of its own for each of " + section);
    }
    return name;
}

std::vector<std::string> configuration_reader::readKeyHashes(document_mapping &node, const std::string &section)
{
    std::vector<std::string> hashes = node.texts("key_hashes");
    for (std::size_t index = 0; index < hashes.size(); ++index) {
        if (!isKeyHash(hashes[index])) {
            node.reportItem("key_hashes", index, "\"" + hashes[index] + "\"", hashExpectation);
        } else if (!m_hashes[section].insert(hashes[index]).second) {
            node.reportItem("key_hashes", index, "a hash that another of " + section + " has",
                            "a key of its own for each");
        }
    }
    return hashes;
}

selector configuration_reader::readPoolSelector(document_mapping &node, endpoint_kind kind)
{
    const std::size_t before = node.problemCount();
    selector pools = node.selectorAt("pools");
    if (node.problemCount() == before) {
        m_selectorReferences.push_back({pools, kind, node.pathOf("pools"), node.lineOf("pools")});
    }
    return pools;
}

std::vector<std::string> configuration_reader::readReferences(document_mapping &node, const std::string &key,
                                                              const std::string &section, severity level)
{
    std::vector<std::string> names = node.texts(key);
    for (std::size_t index = 0; index < names.size(); ++index) {
        if (names[index] != "*" || level == severity::error) {
            m_nameReferences.push_back(
                {section, names[index], node.pathOf(key) + "[" + std::to_string(index) + "]", node.lineOf(key), level});
        }
    }
    return names;
}

void configuration_reader::checkSelectorReferences(const std::vector<endpoint_pool> &pools,
                                                   std::vector<configuration_problem> &problems) const
{
    for (const selector_reference &selectorReference : m_selectorReferences) {
        const bool any = std::any_of(pools.begin(), pools.end(), [&](const endpoint_pool &pool) {
            return pool.kind == selectorReference.kind && selectorReference.pools.matches(pool.labels);
        });
        if (!any) {
            const std::string kind = selectorReference.kind == endpoint_kind::model ? "model" : "service";
            problems.push_back({severity::error, selectorReference.path, selectorReference.line,
                                "\"" + selectorReference.pools.text() + "\", which matches no pool of kind " + kind,
                                "a selector that matches the labels of at least one"});
        }
    }
}

void configuration_reader::checkNameReferences(std::vector<configuration_problem> &problems) const
{
    for (const name_reference &reference : m_nameReferences) {
        const auto names = m_names.find(reference.section);
        if (names == m_names.end() || !names->second.contains(reference.name)) {
            problems.push_back({reference.level, reference.path, reference.line, "\"" + reference.name + "\"",
                                "a name from " + reference.section});
        }
    }
}

} // namespace bronzechute
