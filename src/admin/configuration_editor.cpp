#include "admin/configuration_editor.h"

#include "admin/admin_reply.h"
#include "admin/authorization.h"
#include "admin/live_endpoints.h"
#include "config/configuration_diff.h"
#include "config/configuration_parser.h"

namespace bronzechute {

namespace {

// 2,800 changes a day are one in 31 s, so that even one conflict is rare; more attempts would hide a fault.
constexpr int editAttempts = 4;

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

http_reply configuration_editor::edit(const header_list &headers, const options &how, const change_function &change)
{
    const int attempts = how.baseRevision || !how.retry ? 1 : editAttempts;
    for (int attempt = 1;; ++attempt) {
        if (auto reply = tryEdit(headers, how, change, attempt == attempts)) {
            return *reply;
        }
    }
}

std::optional<http_reply> configuration_editor::tryEdit(const header_list &headers, const options &how,
                                                        const change_function &change, bool lastAttempt)
{
    const auto current = m_repository.current();
    if (!current) {
        return errorReply(current.error());
    }
    // The teams are those of the very revision that the change replaces.
    const auto caller = authenticate(current.value().content, headers);
    if (!caller) {
        return errorReply(401, "unauthenticated", caller.error().detail, "Authorization");
    }
    const std::int64_t base = current.value().revision;
    configuration content = current.value().content;
    if (auto refusal = change(content)) {
        return refusal;
    }
    auto checked = parseConfigurationJson(toJson(content));
    if (!checked.content) {
        return invalidDocumentReply(checked.problems);
    }
    const auto changes = diffConfigurations(current.value().content, content);
    // An equal document is no conflict, so that a change whose outcome was unknown can be sent again.
    if (how.baseRevision && *how.baseRevision != base && !changes.empty()) {
        return conflictReply(*how.baseRevision);
    }
    if (content.teams.empty() && !current.value().content.teams.empty()) {
        return errorReply(422, "invalid_configuration",
                          "found no team, expected at least one, because without teams everybody may change everything",
                          "teams");
    }
    if (const auto forbidden = firstForbidden(caller.value().team, changes)) {
        return errorReply(403, "permission_denied",
                          "team " + caller.value().team.name + " may not change " + forbidden->path, forbidden->path);
    }
    const auto emptyPools = live_endpoints(m_status.status()).emptyPools(content);
    checked.problems.insert(checked.problems.end(), emptyPools.begin(), emptyPools.end());
    if (how.dryRun || changes.empty()) {
        return acceptedReply(current.value(), changes, checked.problems, how.dryRun);
    }
    const auto accepted = m_repository.propose(content, base, caller.value().team.name);
    if (accepted) {
        return acceptedReply(accepted.value(), changes, checked.problems, false);
    }
    if (accepted.error().code == errc::conflict) {
        return lastAttempt ? std::optional(conflictReply(base)) : std::nullopt;
    }
    if (accepted.error().code == errc::timed_out || accepted.error().code == errc::protocol_violation) {
        // The write was sent, so it may have taken effect.
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
    // Revision 0 stands for the empty document and is not in the history.
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
