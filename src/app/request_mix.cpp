#include "app/request_mix.h"

#include "core/errors.h"
#include "declare/files.h"
#include "declare/parse.h"

namespace cranberryshed::app {

namespace {

    constexpr std::uint64_t maxAnswerBytes = 4'000'000;
    constexpr std::uint64_t shortServiceMicroseconds = 2'000;
    constexpr std::uint64_t longServiceMicroseconds = 20'000;
    constexpr std::uint32_t shortWeight = 4;
    constexpr std::uint64_t requestBodyBytes = 200;

    RequestTemplate templateFor(const core::ClassDeclaration& declared)
    {
        const bool isLong = declared.length == core::WorkLength::Long;
        RequestTemplate result { .className = declared.name };
        result.method = declared.methods.empty() ? "GET" : declared.methods.front();
        result.path = declared.pathPrefix + (declared.pathPrefix.ends_with('/') ? "" : "/");
        result.weight = isLong ? 1 : shortWeight;
        result.requiresKey = declared.idempotency == core::Idempotency::NonIdempotent;
        result.serviceMicroseconds = isLong ? longServiceMicroseconds : shortServiceMicroseconds;
        result.answerBytes = std::min(declared.typicalBytes, maxAnswerBytes);
        result.bodyBytes = result.method == "GET" ? 0 : requestBodyBytes;
        return result;
    }

}

std::vector<RequestTemplate> requestMix(const std::string& folder)
{
    const declare::FileObjects files = declare::readFiles({ folder });
    if (!files.problems.empty())
        throw core::Error(core::ErrorKind::BadDeclaration, files.problems.front().path + ": " + files.problems.front().text);
    std::vector<RequestTemplate> mix;
    for (const core::ClassDeclaration& declared : declare::parseDeclarations(files.objects).classes)
        mix.push_back(templateFor(declared));
    return mix;
}

}
