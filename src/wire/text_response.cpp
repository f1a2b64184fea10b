#include "wire/text_response.h"

namespace cranberryshed::wire {

namespace {

    beast::string_view toBeast(std::string_view text)
    {
        return { text.data(), text.size() };
    }

}

TextResponse jsonResponse(unsigned status, std::string body)
{
    TextResponse response;
    response.version(11);
    response.result(status);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

TextResponse errorResponse(const request::Reject& reject)
{
    const core::ErrorKindInfo& info = core::errorInfo(reject.error);
    json::object body;
    body["error"] = info.name;
    body["run"] = core::nameOf(info.runState);
    body["retry"] = info.isRetryAllowed;
    body["text"] = info.message;
    if (!reject.key.empty())
        body["requestKey"] = reject.key;
    if (reject.firstStatus != 0)
        body["firstStatus"] = reject.firstStatus;
    TextResponse response = jsonResponse(info.httpStatus, json::serialize(body));
    response.set(toBeast(field::error), toBeast(info.name));
    response.set(toBeast(field::run), toBeast(core::nameOf(info.runState)));
    if (!reject.key.empty())
        response.set(toBeast(field::requestKey), reject.key);
    if (reject.firstStatus != 0)
        response.set(toBeast(field::firstStatus), std::to_string(reject.firstStatus));
    if (reject.retryAfter) {
        // Retry-After is in whole seconds. It is rounded up, so that the caller does not retry too early.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*reject.retryAfter);
        response.set(http::field::retry_after, std::to_string(seconds.count()));
    }
    return response;
}

TextResponse errorResponse(core::ErrorKind kind)
{
    return errorResponse(request::Reject { .request = {}, .error = kind, .key = {}, .retryAfter = {} });
}

core::ErrorKind parseErrorKind(error_code error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return core::ErrorKind::HeaderTooLarge;
    if (error == http::error::body_limit)
        return core::ErrorKind::BodyTooLarge;
    if (error == beast::error::timeout)
        return core::ErrorKind::SlowCaller;
    return core::ErrorKind::BadRequest;
}

}
