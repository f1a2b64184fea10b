#pragma once

#include "wire/exchange.h"
#include "wire/text_response.h"

namespace cranberryshed::wire {

// How an answer that arrived on a backend connection stands to the request that was sent on it.
enum class AnswerMatch : std::uint8_t {
    ThisRequest, // the answer to the request
    EarlierRequest, // the answer to an earlier request; the own one may follow
    Refused, // the backend server did not run the request
    Misdirected, // another backend server has the address; it did not run the request
    Invalid, // nothing that may be passed on
};

// The names and conventions of one front end's HTTP: what callers and backend servers say in header fields, and how
// errors are answered. Sessions and attempts are templates over it.
template <typename Candidate>
concept Dialect = requires(const RequestHeader& request, RequestHeader& outgoing, request::RequestArrived& arrival, const http::response_header<>& answer, const request::Reject& reject, const BackendAttempt& attempt, core::Duration left)
{
    {
        Candidate::answersLookups
        } -> std::convertible_to<bool>;
    {
        Candidate::forwardsCallerAddress
        } -> std::convertible_to<bool>;
    // Bytes of an answer that are held back until it is whole, so that a broken one can be replaced by another
    // attempt's. A longer answer is passed on as it arrives.
    {
        Candidate::maxBufferedAnswerBytes
        } -> std::convertible_to<std::size_t>;
    // Adds what the caller's header says about the request.
    Candidate::readRequestFields(request, arrival);
    {
        Candidate::callerRequestId(request)
        } -> std::same_as<std::string>;
    // Sets the fields for the backend server of one attempt.
    Candidate::setBackendFields(outgoing, attempt, left);
    {
        Candidate::matchAnswer(answer, request, true)
        } -> std::same_as<AnswerMatch>;
    {
        Candidate::reportedLoad(answer)
        } -> std::same_as<std::optional<request::LoadSample>>;
    {
        Candidate::errorResponse(reject)
        } -> std::same_as<TextResponse>;
};

// cranberryshed's own interface, see docs/reference.md.
struct NativeDialect {
    static constexpr bool answersLookups = true;
    static constexpr bool forwardsCallerAddress = true;
    static constexpr std::size_t maxBufferedAnswerBytes = 0;

    static void readRequestFields(const RequestHeader&, request::RequestArrived&);
    static std::string callerRequestId(const RequestHeader&) { return {}; }
    static void setBackendFields(RequestHeader&, const BackendAttempt&, core::Duration left);
    static AnswerMatch matchAnswer(const http::response_header<>&, const RequestHeader&, bool firstAnswer);
    static std::optional<request::LoadSample> reportedLoad(const http::response_header<>&) { return std::nullopt; }
    static TextResponse errorResponse(const request::Reject& reject) { return wire::errorResponse(reject); }
};

}
