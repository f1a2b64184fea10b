#include "wire/request_log.h"

#include "request/fingerprint.h"
#include "wire/event_log.h"

namespace cranberryshed::wire {

namespace {

    std::int64_t signedValue(std::uint64_t value)
    {
        return static_cast<std::int64_t>(value);
    }

    // The configuration and the table by which a request was decided, and their ages.
    std::array<LogFieldValue, 6> basisOf(const core::SteeringTable& table, core::TimePoint now)
    {
        const core::StorePosition position = table.configurationOrigin ? table.configurationOrigin->position : core::StorePosition {};
        return { { { LogField::Version, signedValue(table.configurationRevision) },
            { LogField::Era, signedValue(position.era) },
            { LogField::Revision, signedValue(position.revision) },
            knowledgeAge(table.configurationOrigin, now),
            { LogField::Table, signedValue(table.generation) },
            { LogField::TableAgeMs, wholeMilliseconds(now - table.builtAt) } } };
    }

}

void logSent(const Exchange& exchange, const request::SendAttempt& command, core::TimePoint now)
{
    const bool isRetry = command.attemptNumber > 1;
    if (!tryAdmitEvent(LogEvent::Sent, isRetry, now))
        return;
    const core::ServerEntry& server = command.table->at(command.server);
    logEvent(LogEvent::Sent, {
                                 { LogField::Request, exchange.callerRequestId },
                                 { LogField::Class, exchange.className },
                                 { LogField::Object, signedValue(exchange.objectHash) },
                                 { LogField::Server, server.name },
                                 { LogField::Domain, command.table->at(server.domain).name },
                                 { LogField::Attempt, signedValue(command.attemptNumber) },
                                 { LogField::WaitedMs, wholeMilliseconds(now - exchange.arrivedAt) },
                                 { LogField::LeftMs, wholeMilliseconds(command.deadline - now) },
                                 { LogField::InFlight, signedValue(server.slotCounter->inFlight()) },
                                 { LogField::Others, command.basis.others },
                                 { LogField::ExpectedMs, wholeMilliseconds(command.basis.expected) },
                                 { LogField::Warm, std::int64_t { command.basis.isWarm } },
                                 { LogField::AgeMs, wholeMilliseconds(command.basis.reportAge) },
                             },
        basisOf(*command.table, now));
}

void logAttemptEnded(const Exchange& exchange, const BackendAttempt& attempt, const request::AttemptEnded& ended, core::TimePoint now)
{
    const bool failed = ended.result != core::AttemptResult::Answered;
    if (!tryAdmitEvent(LogEvent::AttemptEnded, failed, now))
        return;
    logEvent(LogEvent::AttemptEnded, {
                                         { LogField::Request, exchange.callerRequestId },
                                         { LogField::Server, attempt.serverName },
                                         { LogField::Result, core::nameOf(ended.result) },
                                         { LogField::Status, signedValue(ended.status) },
                                         { LogField::ElapsedMs, wholeMilliseconds(now - attempt.sentAt) },
                                         { LogField::Reason, attempt.failureReason },
                                     });
}

void logAnswered(const Exchange& exchange, std::uint16_t status, core::AttemptResult result, core::TimePoint now)
{
    const bool failed = result != core::AttemptResult::Answered || status >= 500;
    if (!tryAdmitEvent(LogEvent::Answered, failed, now))
        return;
    logEvent(LogEvent::Answered, {
                                     { LogField::Request, exchange.callerRequestId },
                                     { LogField::Class, exchange.className },
                                     { LogField::Status, signedValue(status) },
                                     { LogField::Result, core::nameOf(result) },
                                     { LogField::Attempt, signedValue(exchange.attempts.size()) },
                                     { LogField::ElapsedMs, wholeMilliseconds(now - exchange.arrivedAt) },
                                 },
        basisOf(*exchange.table, now));
}

void logServerChecked(const core::ServerEntry& server, core::Reachability reachability, core::Duration elapsed, core::TimePoint now)
{
    if (!tryAdmitEvent(LogEvent::ServerChecked, true, now))
        return;
    logEvent(LogEvent::ServerChecked, {
                                          { LogField::Server, server.name },
                                          { LogField::Result, core::nameOf(reachability) },
                                          { LogField::ElapsedMs, wholeMilliseconds(elapsed) },
                                      });
}

void logRefused(const Exchange& exchange, const request::Reject& reject, core::TimePoint now)
{
    const LogEvent event = reject.error == core::ErrorKind::CallerGone ? LogEvent::CallerGone : LogEvent::Refused;
    if (!tryAdmitEvent(event, true, now))
        return;
    const std::string fingerprint = reject.crashes ? request::formatFingerprint(reject.crashes->key) : std::string();
    logEvent(event, {
                        { LogField::Request, exchange.callerRequestId },
                        { LogField::Class, exchange.className },
                        { LogField::Error, core::errorInfo(reject.error).name },
                        { LogField::Attempt, signedValue(exchange.attempts.size()) },
                        { LogField::ElapsedMs, wholeMilliseconds(now - exchange.arrivedAt) },
                        { LogField::RetryAfterMs, reject.retryAfter ? wholeMilliseconds(*reject.retryAfter) : std::int64_t {} },
                        { LogField::Fingerprint, fingerprint },
                        { LogField::Crashes, reject.crashes ? signedValue(reject.crashes->record.count) : std::int64_t {} },
                    },
        basisOf(*exchange.table, now));
}

}
