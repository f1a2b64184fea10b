#pragma once

#include "admin/command_context.h"
#include "platform/store_api.h"

#include <boost/asio/io_context.hpp>
#include <map>

namespace cranberryshed::admin {

// Client of the store and of the members' admin addresses, for commands. Each call blocks the calling thread until it
// has completed. Calls to the store throw like those of store::Client.
class BlockingAdminClient {
public:
    // Throws core::Error (BadSettings) if the address of the store is malformed.
    explicit BlockingAdminClient(const Options& options);

    store::ObjectBatch list(const std::string& kind);
    store::StoredObject get(const std::string& kind, const std::string& name);
    store::WriteResult put(const core::Object& object, std::uint64_t expectedVersion);
    core::ServerList serverList();

    // Returns the revision in force on each member, by its address; nothing for a member without a valid answer within
    // 2 s.
    std::map<std::string, std::optional<std::uint64_t>> revisionsInForce(const std::vector<std::string>& members);

    core::TimePoint now() const { return this->transport.now(); }
    void waitUntil(core::TimePoint time);

private:
    template <typename Result>
    Result runToCompletion(boost::asio::awaitable<Result> call);

    boost::asio::io_context context;
    store::HttpTransport transport;
    platform::NativeStoreClient client;
};

}
