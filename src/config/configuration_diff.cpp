#include "config/configuration_diff.h"

#include "config/configuration_parser.h"

#include <algorithm>
#include <map>

namespace bronzechute {

namespace {

using json = nlohmann::json;
using change_list = std::vector<configuration_change>;

using name_index = std::map<std::string, const json *>;

name_index indexByName(const json &items)
{
    name_index index;
    for (const json &item : items) {
        index.emplace(item["name"].get<std::string>(), &item);
    }
    return index;
}

/** Compares objects recursively; other values, including lists, are compared as a whole. */
void compareValues(const configuration_change &location, const json &before, const json &after, change_list &changes)
{
    if (before == after) {
        return;
    }
    if (!before.is_object() || !after.is_object()) {
        configuration_change change = location;
        change.before = before;
        change.after = after;
        changes.push_back(change);
        return;
    }
    json keys = before;
    keys.update(after);
    for (const auto &[key, unused] : keys.items()) {
        configuration_change child = location;
        child.path += "." + key;
        compareValues(child, before.value(key, json()), after.value(key, json()), changes);
    }
}

json namesOf(const json &items)
{
    json names = json::array();
    for (const json &item : items) {
        names.push_back(item["name"]);
    }
    return names;
}

configuration_change changeAt(const std::string &section, const std::string &name)
{
    std::string path = section;
    path.append("[").append(name).append("]");
    return {section, name, path, json(), json()};
}

void compareSection(const std::string &section, const json &before, const json &after, change_list &changes)
{
    const name_index old = indexByName(before);
    const name_index current = indexByName(after);
    for (const json &item : before) {
        const std::string name = item["name"].get<std::string>();
        const auto other = current.find(name);
        compareValues(changeAt(section, name), item, other == current.end() ? json() : *other->second, changes);
    }
    for (const json &item : after) {
        const std::string name = item["name"].get<std::string>();
        if (!old.contains(name)) {
            compareValues(changeAt(section, name), json(), item, changes);
        }
    }
}

void compareOrder(const std::string &section, const json &before, const json &after, change_list &changes)
{
    const json namesAfter = namesOf(after);
    json kept = json::array();
    for (const json &name : namesOf(before)) {
        if (std::find(namesAfter.begin(), namesAfter.end(), name) != namesAfter.end()) {
            kept.push_back(name);
        }
    }
    if (!std::equal(kept.begin(), kept.end(), namesAfter.begin())) {
        changes.push_back({section, "", section, namesOf(before), namesAfter});
    }
}

} // namespace

std::string configuration_change::toString() const
{
    if (before.is_null()) {
        return path + ": added " + after.dump();
    }
    if (after.is_null()) {
        return path + ": removed " + before.dump();
    }
    return path + ": " + before.dump() + " -> " + after.dump();
}

std::vector<configuration_change> diffConfigurations(const configuration &before, const configuration &after)
{
    const json left = toJson(before);
    const json right = toJson(after);
    change_list changes;
    for (const char *section : {"pools", "classes", "accounts", "services", "data_centres", "endpoints", "teams"}) {
        compareSection(section, left[section], right[section], changes);
    }
    compareOrder("classes", left["classes"], right["classes"], changes);
    return changes;
}

std::vector<std::string> toLines(const std::vector<configuration_change> &changes)
{
    std::vector<std::string> lines;
    lines.reserve(changes.size());
    for (const configuration_change &change : changes) {
        lines.push_back(change.toString());
    }
    return lines;
}

nlohmann::json toJson(const std::vector<configuration_change> &changes)
{
    json list = json::array();
    for (const configuration_change &change : changes) {
        list.push_back({{"path", change.path}, {"old", change.before}, {"new", change.after}});
    }
    return list;
}

} // namespace bronzechute
