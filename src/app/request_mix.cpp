#include "app/request_mix.h"

#include "core/errors.h"
#include "declare/files.h"
#include "declare/load.h"

namespace cranberryshed::app {

namespace {

    constexpr std::uint64_t largestAnswer = 4'000'000; // bytes
    constexpr std::uint64_t shortTime = 2'000; // microseconds
    constexpr std::uint64_t longTime = 20'000; // microseconds
    constexpr std::uint32_t shortWeight = 4;
    constexpr std::uint64_t postBytes = 200;

    RequestTemplate kindOf(const core::ClassDeclaration& declared)
    {
        const bool isLong = declared.length == core::WorkLength::Long;
        RequestTemplate kind { .className = declared.name };
        kind.method = declared.methods.empty() ? "GET" : declared.methods.front();
        kind.path = declared.pathPrefix + (declared.pathPrefix.ends_with('/') ? "" : "/");
        kind.weight = isLong ? 1 : shortWeight;
        kind.requiresKey = declared.idempotency == core::Idempotency::NonIdempotent;
        kind.serviceMicroseconds = isLong ? longTime : shortTime;
        kind.answerBytes = std::min(declared.typicalBytes, largestAnswer);
        kind.bodyBytes = kind.method == "GET" ? 0 : postBytes;
        return kind;
    }

}

std::vector<RequestTemplate> requestMix(const std::string& folder)
{
    const declare::FileObjects files = declare::readFiles({ folder });
    if (!files.problems.empty())
        throw core::Error(core::ErrorKind::BadDeclaration, files.problems.front().path + ": " + files.problems.front().text);
    std::vector<RequestTemplate> mix;
    for (const core::ClassDeclaration& declared : declare::load(files.objects).classes)
        mix.push_back(kindOf(declared));
    return mix;
}

}
