#include "config/configuration_parser.h"

#include <yaml-cpp/yaml.h>

namespace bronzechute {

namespace {

using json = nlohmann::json;

constexpr int schemaVersion = 1;

json toJson(const endpoint_pool &pool)
{
    json object = {{"name", pool.name},
                   {"kind", pool.kind == endpoint_kind::model ? "model" : "service"},
                   {"labels", json(pool.labels)},
                   {"members", pool.members.text()}};
    if (pool.kind == endpoint_kind::model) {
        object["model"] = pool.model;
    }
    return object;
}

json toJson(const traffic_class &each)
{
    json match = json::object();
    if (!each.accounts.empty()) {
        match["accounts"] = each.accounts;
    }
    if (!each.models.empty()) {
        match["models"] = each.models;
    }
    return {{"name", each.name},
            {"match", match},
            {"pools", each.pools.text()},
            {"priority", each.priority},
            {"deadline_ms", each.deadline.count()},
            {"first_token_ms", each.firstTokenTimeout.count()},
            {"resume_elsewhere", each.resumeElsewhere}};
}

json toJson(const client_account &account)
{
    return {{"name", account.name}, {"key_hashes", account.keyHashes}, {"share", account.share}};
}

json toJson(const plain_service &service)
{
    json rules = json::array();
    for (const repeatable_rule &rule : service.repeatable) {
        rules.push_back({{"method", rule.method}, {"path", rule.path}});
    }
    return {{"name", service.name},
            {"prefix", service.prefix},
            {"pools", service.pools.text()},
            {"repeatable", rules},
            {"deadline_ms", service.deadline.count()},
            {"read_your_writes", service.readYourWrites}};
}

json toJson(const data_centre &centre)
{
    return {{"name", centre.name}, {"state", centre.inService ? "in_service" : "out"}};
}

json toJson(const endpoint_override &endpoint)
{
    return {{"name", endpoint.name}, {"labels", json(endpoint.labels)}, {"drained", endpoint.drained}};
}

json toJson(const operator_team &team)
{
    return {{"name", team.name},
            {"key_hashes", team.keyHashes},
            {"pools", team.pools},
            {"classes", team.classes},
            {"operator", team.isOperator}};
}

template<typename T>
json listToJson(const std::vector<T> &items)
{
    json list = json::array();
    for (const T &item : items) {
        list.push_back(toJson(item));
    }
    return list;
}

/** Writes a value as YAML. Strings are always quoted, so that a parser reads back the same type. */
void emit(YAML::Emitter &out, const json &value)
{
    if (value.is_object()) {
        out << (value.empty() ? YAML::Flow : YAML::Block) << YAML::BeginMap;
        // The name comes first for readability, the other keys follow in alphabetical order.
        if (value.contains("name")) {
            out << YAML::Key << "name" << YAML::Value;
            emit(out, value["name"]);
        }
        for (const auto &[key, item] : value.items()) {
            if (key != "name") {
                out << YAML::Key << key << YAML::Value;
                emit(out, item);
            }
        }
        out << YAML::EndMap;
    } else if (value.is_array()) {
        out << (value.empty() || value.front().is_string() ? YAML::Flow : YAML::Block) << YAML::BeginSeq;
        for (const json &item : value) {
            emit(out, item);
        }
        out << YAML::EndSeq;
    } else if (value.is_string()) {
        out << YAML::DoubleQuoted << value.get<std::string>();
    } else {
        out << value.dump();
    }
}

} // namespace

json toJson(const configuration &content)
{
    return {{"schema", schemaVersion},
            {"pools", listToJson(content.pools)},
            {"classes", listToJson(content.classes)},
            {"accounts", listToJson(content.accounts)},
            {"services", listToJson(content.services)},
            {"data_centres", listToJson(content.dataCentres)},
            {"endpoints", listToJson(content.endpoints)},
            {"teams", listToJson(content.teams)}};
}

std::string toYaml(const configuration &content)
{
    const json document = toJson(content);
    YAML::Emitter out;
    out << YAML::BeginMap;
    for (const char *key :
         {"schema", "pools", "classes", "accounts", "services", "data_centres", "endpoints", "teams"}) {
        out << YAML::Key << key << YAML::Value;
        emit(out, document[key]);
    }
    out << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

} // namespace bronzechute
