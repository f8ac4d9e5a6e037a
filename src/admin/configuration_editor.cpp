#include "admin/configuration_editor.h"

#include "admin/admin_reply.h"
#include "admin/authorization.h"
#include "admin/live_endpoints.h"
#include "config/configuration_diff.h"
#include "config/configuration_parser.h"

namespace bronzechute {

namespace {

// At 2,800 changes a day, one every 31 s, even a single conflict is rare; more attempts would hide a fault.
constexpr int maxEditAttempts = 4;

http_reply acceptedReply(const configuration_envelope &envelope, const std::vector<configuration_change> &changes,
                         const std::vector<configuration_problem> &warnings, bool dryRun)
{
    return jsonReply(200,
                     {{"revision", envelope.revision},
                      {"author", envelope.author},
                      {"at", envelope.at},
                      {"dry_run", dryRun},
                      {"diff", toJson(changes)},
                      {"problems", toJson(warnings)}});
}

} // namespace

http_reply configuration_editor::edit(const header_list &headers, const options &editOptions,
                                      const change_function &change)
{
    const int attempts = editOptions.baseRevision || !editOptions.retry ? 1 : maxEditAttempts;
    for (int attempt = 1;; ++attempt) {
        if (auto reply = tryEdit(headers, editOptions, change, attempt == attempts)) {
            return *reply;
        }
    }
}

std::optional<http_reply> configuration_editor::tryEdit(const header_list &headers, const options &editOptions,
                                                        const change_function &change, bool lastAttempt)
{
    const auto current = m_repository.current();
    if (!current) {
        return errorReply(current.error());
    }
    // Permissions are taken from the same revision that the change replaces.
    const auto caller = authenticate(current.value().content, headers);
    if (!caller) {
        return errorReply(401, "unauthenticated", caller.error().detail, "Authorization");
    }
    const std::int64_t base = current.value().revision;
    configuration content = current.value().content;
    if (auto errorResponse = change(content)) {
        return errorResponse;
    }
    auto checked = parseConfigurationJson(toJson(content));
    if (!checked.content) {
        return invalidDocumentReply(checked.problems);
    }
    const auto changes = diffConfigurations(current.value().content, content);
    // A document equal to the current one is not a conflict, so that a change with an unknown outcome can be resent.
    if (editOptions.baseRevision && *editOptions.baseRevision != base && !changes.empty()) {
        return conflictReply(*editOptions.baseRevision);
    }
    if (content.teams.empty() && !current.value().content.teams.empty()) {
        return errorReply(422, "invalid_configuration",
                          "found no team, expected at least one, because without teams everybody may change everything",
                          "teams");
    }
    if (const auto forbidden = findForbiddenChange(caller.value().team, changes)) {
        return errorReply(403, "permission_denied",
                          "team " + caller.value().team.name + " may not change " + forbidden->path, forbidden->path);
    }
    const auto emptyPools = live_endpoints(m_status.status()).emptyPools(content);
    checked.problems.insert(checked.problems.end(), emptyPools.begin(), emptyPools.end());
    if (editOptions.dryRun || changes.empty()) {
        return acceptedReply(current.value(), changes, checked.problems, editOptions.dryRun);
    }
    const auto accepted = m_repository.propose(content, base, caller.value().team.name);
    if (accepted) {
        return acceptedReply(accepted.value(), changes, checked.problems, false);
    }
    if (accepted.error().code == errc::conflict) {
        return lastAttempt ? std::optional(conflictReply(base)) : std::nullopt;
    }
    if (accepted.error().code == errc::timed_out || accepted.error().code == errc::protocol_violation) {
        // The write may have reached the store and taken effect.
        error unknown = accepted.error();
        unknown.code = errc::outcome_unknown;
        return errorReply(unknown);
    }
    return errorReply(accepted.error());
}

http_reply configuration_editor::conflictReply(std::int64_t baseRevision)
{
    const auto current = m_repository.current();
    if (!current) {
        return errorReply(409, "conflict", "another revision than " + std::to_string(baseRevision) + " is in force",
                          "base_revision");
    }
    const auto base = m_repository.at(baseRevision);
    // Revision 0 is the empty document, which has no history entry.
    const bool known = base || baseRevision == 0;
    const configuration before = base ? base.value().content : configuration();
    const std::string message = "revision " + std::to_string(current.value().revision) + " by " + current.value().author
        + " is in force, not the base revision " + std::to_string(baseRevision);
    const nlohmann::json diff = known ? toJson(diffConfigurations(before, current.value().content)) : nlohmann::json();
    return jsonReply(409,
                     {{"error", {{"code", "conflict"}, {"message", message}, {"field", "base_revision"}}},
                      {"current",
                       {{"revision", current.value().revision},
                        {"author", current.value().author},
                        {"at", current.value().at},
                        {"diff", diff}}}});
}

} // namespace bronzechute
