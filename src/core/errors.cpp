#include "core/errors.h"

namespace cranberryshed::core {

namespace {

    using enum RunState;

    // One row per ErrorKind, in the order of the enumerators.
    //
    // NotRun is stated only if no byte of the request was sent to a backend server, or if the backend server
    // itself refused the request. Exit codes: 1 failed, 2 invalid input, 3 conflict, 4 store unavailable,
    // 5 unclear, 6 not yet in force.
    constexpr std::array<ErrorKindInfo, 37> errorInfos = { {
        { "bad-request", 400, NotRun, false, 1, "the request is malformed" },
        { "header-too-large", 431, NotRun, false, 1, "the request header is larger than allowed" },
        { "body-too-large", 413, NotRun, false, 1, "the request body is larger than allowed" },
        { "slow-caller", 408, NotRun, true, 1, "the caller sent the request too slowly" },
        { "too-many-connections", 429, NotRun, true, 1, "too many connections from this address" },
        { "no-such-class", 404, NotRun, false, 1, "no class of work matches the request" },
        { "key-required", 428, NotRun, true, 1, "the class is not idempotent; send the request with the key given here" },
        { "key-malformed", 400, NotRun, false, 1, "the request key is malformed" },
        { "key-foreign", 409, MayHaveRun, false, 1, "the request key belongs to another entry VM or to an earlier start of this one" },
        { "key-expired", 409, MayHaveRun, false, 1, "the request key has expired" },
        { "key-in-progress", 409, MayHaveRun, false, 1, "the request with this key is still running" },
        { "key-used", 409, WasRun, false, 1, "the request with this key was already run" },
        { "key-mismatch", 422, NotRun, false, 1, "the request key was already used for another request" },
        { "quarantined", 422, NotRun, false, 1, "the request is quarantined because it crashed backend servers" },
        { "overloaded", 503, NotRun, true, 1, "the class is at its limit" },
        { "deadline-too-short", 503, NotRun, true, 1, "the request could not be finished within its deadline" },
        { "deadline-passed-queued", 504, NotRun, true, 1, "the deadline passed before a backend server was free" },
        { "deadline-passed", 504, MayHaveRun, false, 1, "the deadline passed while a backend server worked on the request" },
        { "no-server", 503, NotRun, true, 1, "no backend server is available for the class" },
        { "server-refused", 503, NotRun, true, 1, "the backend servers refused the request" },
        { "server-unreachable", 502, NotRun, true, 1, "no backend server could be reached" },
        { "server-broke", 502, MayHaveRun, false, 1, "the backend server closed the connection before the whole answer" },
        { "shutting-down", 503, NotRun, true, 1, "this entry VM is shutting down" },
        { "internal", 500, MayHaveRun, false, 1, "internal error" },
        { "bad-settings", 400, NotRun, false, 2, "the settings are not valid" },
        { "bad-declaration", 400, NotRun, false, 2, "the declaration is not valid" },
        { "bad-usage", 400, NotRun, false, 2, "the command line is not valid" },
        { "version-conflict", 409, NotRun, false, 3, "the object was changed by another writer" },
        { "not-found", 404, NotRun, false, 1, "the object does not exist" },
        { "store-unavailable", 503, NotRun, true, 4, "the platform's store does not answer" },
        { "write-unclear", 502, MayHaveRun, false, 5, "the answer to the write was lost" },
        { "history-gone", 410, NotRun, true, 1, "the store no longer holds the changes since that version" },
        { "bad-message", 400, NotRun, false, 1, "the message is malformed" },
        { "not-in-force", 503, NotRun, true, 6, "the accepted versions are not in force on every live member" },
        { "key-unclear", 409, MayHaveRun, false, 1, "the request with this key was sent to a backend server that gave no answer" },
        { "not-ready", 503, NotRun, true, 1, "this entry VM has no configuration yet" },
        { "caller-gone", 499, MayHaveRun, false, 1, "the caller closed its connection before the answer" },
    } };
    static_assert(static_cast<std::size_t>(ErrorKind::CallerGone) + 1 == errorInfos.size());

}

const ErrorKindInfo& errorInfo(ErrorKind kind)
{
    return errorInfos[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    for (std::size_t i = 0; i < errorInfos.size(); ++i) {
        if (errorInfos[i].name == name)
            return static_cast<ErrorKind>(i);
    }
    return std::nullopt;
}

Error::Error(ErrorKind kind, const std::string& message)
    : std::runtime_error(message)
    , errorKind(kind)
{
}

}
