#include "admin/wait.h"

#include "admin/report.h"
#include "declare/kinds.h"

#include <algorithm>
#include <boost/json.hpp>

namespace cranberryshed::admin {

namespace json = boost::json;

namespace {

    constexpr core::Duration pollInterval = std::chrono::milliseconds(200);

    // The highest revision of the operators' objects in the store.
    std::uint64_t acceptedRevision(BlockingAdminClient& client)
    {
        std::uint64_t revision = 0;
        for (std::size_t i = 0; i < declare::operatorKindCount; ++i) {
            for (const store::StoredObject& stored : client.list(std::string(core::nameOf(static_cast<declare::Kind>(i)))).objects)
                revision = std::max(revision, stored.object.version.revision);
        }
        return revision;
    }

    json::array stringArray(const std::vector<std::string>& texts)
    {
        json::array array;
        for (const std::string& text : texts)
            array.emplace_back(text);
        return array;
    }

}

WaitResult waitForMembers(BlockingAdminClient& client, const Options& options)
{
    WaitResult result { .revision = options.revision ? *options.revision : acceptedRevision(client), .outdatedMembers = {}, .unresponsiveMembers = {} };
    core::TimePoint end = client.now() + options.waitTimeout;
    while (true) {
        result.outdatedMembers.clear();
        result.unresponsiveMembers.clear();
        for (const auto& [member, revision] : client.revisionsInForce(options.memberAddresses)) {
            if (!revision)
                result.unresponsiveMembers.push_back(member);
            else if (*revision < result.revision)
                result.outdatedMembers.push_back(member);
        }
        if ((result.outdatedMembers.empty() && result.unresponsiveMembers.empty()) || client.now() + pollInterval >= end)
            return result;
        client.waitUntil(client.now() + pollInterval);
    }
}

int printWaitResult(const WaitResult& result, const Options& options, std::ostream& output)
{
    bool inForce = result.outdatedMembers.empty() && result.unresponsiveMembers.empty();
    if (options.output == OutputFormat::Json) {
        output << json::serialize(json::object { { "revision", result.revision }, { "inForce", inForce }, { "lacking", stringArray(result.outdatedMembers) }, { "silent", stringArray(result.unresponsiveMembers) } }) << '\n';
    } else {
        for (const std::string& member : result.outdatedMembers)
            output << member << ": an older revision is in force\n";
        for (const std::string& member : result.unresponsiveMembers)
            output << member << ": does not answer\n";
        output << "revision " << result.revision << (inForce ? " is in force on every member" : " is not in force on every member") << '\n';
    }
    return inForce ? 0 : core::errorInfo(core::ErrorKind::NotInForce).exitCode;
}

}
