#pragma once

#include "core/enums.h"

#include <cstdint>
#include <stdexcept>
#include <string>

namespace cranberryshed::core {

// The closed list of error kinds, for answers to callers, for commands and for the platform's API.
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

// What follows from an error kind.
struct ErrorKindInfo {
    std::string_view name;
    std::uint16_t httpStatus;
    RunState runState; // what the caller may conclude about its request
    bool isRetryAllowed; // whether sending the same request again, to any entry VM, is allowed
    std::uint8_t exitCode; // of a command that ends with this error
    std::string_view message;
};

const ErrorKindInfo& errorInfo(ErrorKind kind);

// Returns the kind with this name, or nothing.
std::optional<ErrorKind> errorKindFromName(std::string_view name);

// Thrown for every error that the program itself detects.
class Error : public std::runtime_error {
public:
    Error(ErrorKind, const std::string& message);

    ErrorKind kind() const { return this->errorKind; }

private:
    ErrorKind errorKind;
};

}
