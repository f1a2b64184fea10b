#include "wire/lookup_response.h"

#include "wire/clock.h"
#include "wire/worker.h"

namespace cranberryshed::wire {

namespace {

    std::string replyText(const core::SteeringTable& table, const lookup::Reply& reply)
    {
        json::array entries;
        for (const core::MemberIndex index : reply.entries) {
            const core::MemberEntry& member = table.at(index);
            entries.push_back(json::object { { "address", member.address }, { "failureDomain", table.at(member.domain).name } });
        }
        json::object body;
        body["entries"] = std::move(entries);
        body["ttlMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(reply.timeToLive).count();
        if (!reply.requestKey.empty())
            body["requestKey"] = reply.requestKey;
        return json::serialize(body);
    }

}

TextResponse lookupResponse(Worker& worker, const RequestHeader& header, core::CallerAddress caller)
{
    if (header.method() != http::verb::get)
        return errorResponse(core::ErrorKind::BadRequest);
    const std::string_view target = toStd(header.target());
    lookup::Query query { .className = queryParameter(target, "class").value_or(""), .caller = caller };
    if (const std::optional<std::string> client = queryParameter(target, "client")) {
        error_code error;
        const asio::ip::address_v4 address = asio::ip::make_address_v4(*client, error);
        if (error)
            return errorResponse(core::ErrorKind::BadRequest);
        query.caller = core::CallerAddress { address.to_uint() };
    }
    ++worker.metrics().lookups;
    lookup::Context context { .query = std::move(query), .table = worker.table(), .classIndex = {}, .reply = {} };
    const core::Outcome outcome = worker.lookupPipe()(std::move(context), steadyNow());
    if (outcome.ended())
        return errorResponse(outcome.answer());
    return jsonResponse(200, replyText(*worker.table(), outcome.output().reply));
}

}
