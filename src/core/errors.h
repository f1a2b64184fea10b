#pragma once

#include "core/enums.h"

#include <cstdint>
#include <stdexcept>
#include <string>

namespace cranberryshed::core {

// All kinds of errors. Answers to callers, commands and the platform's API use the same list.
enum class ErrorKind : std::uint8_t {
    BadRequest,
    HeaderTooLarge,
    BodyTooLarge,
    SlowCaller,
    TooManyConnections,
    NoSuchClass,
    KeyRequired,
    KeyMalformed,
    KeyForeign,
    KeyExpired,
    KeyInProgress,
    KeyUsed,
    KeyMismatch,
    Quarantined,
    Overloaded,
    DeadlineTooShort,
    DeadlinePassedQueued,
    DeadlinePassed,
    NoServer,
    ServerRefused,
    ServerUnreachable,
    ServerBroke,
    ShuttingDown,
    Internal,
    BadSettings,
    BadDeclaration,
    BadUsage,
    VersionConflict,
    NotFound,
    StoreUnavailable,
    WriteUnclear,
    HistoryGone,
    BadMessage,
    NotInForce,
    KeyUnclear,
    NotReady,
    CallerGone,
};

// How an error of one kind is reported to callers and by commands.
struct ErrorKindInfo {
    std::string_view name; // unique; stated in answers, logs and metrics
    std::uint16_t httpStatus;
    RunState runState; // whether the caller's request was run
    bool isRetryAllowed; // whether sending the same request again, to any entry VM, is allowed
    std::uint8_t exitCode; // of a command that fails with this error
    std::string_view message;
};

const ErrorKindInfo& errorInfo(ErrorKind kind);

// Returns the kind with this name, or nothing if there is none.
std::optional<ErrorKind> errorKindFromName(std::string_view name);

// The exception for every error that the program itself detects.
class Error : public std::runtime_error {
public:
    Error(ErrorKind, const std::string& message);

    ErrorKind kind() const { return this->errorKind; }

private:
    ErrorKind errorKind;
};

}
