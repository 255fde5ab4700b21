#pragma once

/// The names of the methods that a router offers to operators. Parameters and results are JSON
/// objects, given beside each name; a parameter with '?' may be left out.
namespace caraway::rpc::methods
{

/// {} -> {node, zone, state: "starting"|"serving"|"draining"|"stopping", program_version,
///        uptime_s, config: {version, hash}, members: {live, suspected}, waiting, running}
inline constexpr const char* status = "status";
/// {} -> the state of the whole process, by part
inline constexpr const char* dump = "dump";
/// {request} -> {events: [{at_ms, part, what, ...}]}
inline constexpr const char* explain = "explain";
/// {} -> {state}; the router finishes what it has and takes nothing new
inline constexpr const char* drain = "drain";

/// {version?} -> {version, hash, document}; without a version, the one in force. `document` is the
/// base64 of the merged configuration document, whose SHA-256 is `hash`.
inline constexpr const char* config_show = "config.show";
/// {} -> {versions: [{version, hash, change, proposer, approvers, at}]}, newest first
inline constexpr const char* config_log = "config.log";
/// The open changes. {} -> {changes: [{id, base, hash, proposer, note, approvals: [{approver, hash,
/// base, at}],
///                   state: "open"|"accepted"|"rejected"}]}
inline constexpr const char* config_changes = "config.changes";
/// {change, base, document, note} -> a change as in config.changes with `approvals_required`, the
/// approvals by others that it needs, `approvals_counted`, those that it has, and, once it is
/// accepted, `version`. The same again for a repeat.
/// `document` is base64, so that its bytes and therefore its hash stay what they are; `base` is the
/// version that the proposer started from.
inline constexpr const char* config_propose = "config.propose";
/// {change, hash, base} -> as config.propose; hash and base are those that the approver has seen
inline constexpr const char* config_approve = "config.approve";
/// {change, reason} -> as config.propose
inline constexpr const char* config_reject = "config.reject";

}  // namespace caraway::rpc::methods
