#pragma once

#include "wire/exchange.h"
#include "wire/text_response.h"

#include <array>
#include <span>

namespace cranberryshed::wire {

// How an answer that arrived on a backend connection relates to the request that was sent on it.
enum class AnswerMatch : std::uint8_t {
    ThisRequest, // the answer to the request
    EarlierRequest, // the answer to an earlier request on this connection; the answer to this one can still follow
    Refused, // the backend server did not run the request
    Misdirected, // the address now belongs to another backend server, which did not run the request
    Invalid, // must not be relayed
};

// The HTTP conventions of one front end: the header fields that callers and backend servers use, and the format of
// error answers. Session and the functions of upstream_impl.h are templates over it.
template <typename Candidate>
concept Dialect = requires(const RequestHeader& request, RequestHeader& outgoing, request::RequestArrived& arrival, const http::response_header<>& answer, const request::Reject& reject, const BackendAttempt& attempt, core::Duration timeLeft)
{
    {
        Candidate::answersLookups
        } -> std::convertible_to<bool>;
    {
        Candidate::forwardsCallerAddress
        } -> std::convertible_to<bool>;
    // An answer of up to this many bytes is buffered until it is complete, so that a broken one can be replaced by the
    // answer of another attempt. A longer answer is relayed as it arrives.
    {
        Candidate::maxBufferedAnswerBytes
        } -> std::convertible_to<std::size_t>;
    // The dialect's own fields that a message keeps even if its Connection field lists them.
    {
        Candidate::endToEndFields
        } -> std::convertible_to<std::span<const std::string_view>>;
    // Fills the members of RequestArrived that this dialect reads from the caller's header: the request key, the
    // deadline and the affinity.
    Candidate::readRequestFields(request, arrival);
    // Adds the header fields by which backend servers recognise this system, the same for all attempts of a request.
    Candidate::addExchangeFields(outgoing, core::RequestId {});
    {
        Candidate::callerRequestId(request)
        } -> std::same_as<std::string>;
    // Sets the header fields that differ for each attempt, such as the time until its deadline.
    Candidate::setBackendFields(outgoing, attempt, timeLeft);
    {
        Candidate::matchAnswer(answer, request, true)
        } -> std::same_as<AnswerMatch>;
    {
        Candidate::reportedLoad(answer)
        } -> std::same_as<std::optional<request::LoadSample>>;
    // Whether the answer states that its server is leaving, so that it should get no more requests.
    {
        Candidate::announcesLeaving(answer)
        } -> std::same_as<bool>;
    {
        Candidate::errorResponse(reject)
        } -> std::same_as<TextResponse>;
};

// The dialect of cranberryshed's native interface, see docs/reference.md.
struct NativeDialect {
    static constexpr bool answersLookups = true;
    static constexpr bool forwardsCallerAddress = true;
    static constexpr std::size_t maxBufferedAnswerBytes = 0;
    static constexpr std::array<std::string_view, 4> endToEndFields = { field::requestKey, field::deadline, field::exchangeId, field::backendRun };

    static void readRequestFields(const RequestHeader&, request::RequestArrived&);
    static void addExchangeFields(RequestHeader&, core::RequestId);
    static std::string callerRequestId(const RequestHeader&) { return {}; }
    static void setBackendFields(RequestHeader&, const BackendAttempt&, core::Duration timeLeft);
    static AnswerMatch matchAnswer(const http::response_header<>&, const RequestHeader&, bool firstAnswer);
    static std::optional<request::LoadSample> reportedLoad(const http::response_header<>&) { return std::nullopt; }
    static bool announcesLeaving(const http::response_header<>&) { return false; }
    static TextResponse errorResponse(const request::Reject& reject) { return wire::errorResponse(reject); }
};

}
