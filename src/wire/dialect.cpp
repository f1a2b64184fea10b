#include "wire/dialect.h"

namespace cranberryshed::wire {

namespace {

    beast::string_view toBeast(std::string_view text)
    {
        return { text.data(), text.size() };
    }

}

void NativeDialect::readRequestFields(const RequestHeader& header, request::RequestArrived& arrival)
{
    arrival.key = std::string(toStd(header[toBeast(field::requestKey)]));
    arrival.deadline = millisecondsField(header, field::deadline);
}

void NativeDialect::addExchangeFields(RequestHeader& header, core::RequestId request)
{
    header.set(toBeast(field::exchangeId), std::to_string(static_cast<std::uint64_t>(request)));
}

void NativeDialect::setBackendFields(RequestHeader& header, const BackendAttempt&, core::Duration timeLeft)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft);
    header.set(toBeast(field::deadline), std::to_string(std::max<std::int64_t>(1, milliseconds.count())));
}

// An answer without the number can't be checked. Servers that run non-idempotent work should repeat it.
AnswerMatch NativeDialect::matchAnswer(const http::response_header<>& answer, const RequestHeader& request, bool)
{
    const std::string_view number = toStd(answer[toBeast(field::exchangeId)]);
    if (!number.empty() && number != toStd(request[toBeast(field::exchangeId)]))
        return AnswerMatch::EarlierRequest;
    const bool refused = answer.result() == http::status::service_unavailable && toStd(answer[toBeast(field::backendRun)]) == core::nameOf(core::RunState::NotRun);
    return refused ? AnswerMatch::Refused : AnswerMatch::ThisRequest;
}

}
