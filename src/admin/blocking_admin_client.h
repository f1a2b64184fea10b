#pragma once

#include "admin/command_context.h"
#include "platform/store_api.h"

#include <boost/asio/io_context.hpp>
#include <map>

namespace cranberryshed::admin {

// Calls to the store and to members' admin addresses for commands: each runs to its end on the calling thread.
class BlockingAdminClient {
public:
    // Throws core::Error (BadSettings) if the store's address is malformed.
    explicit BlockingAdminClient(const Options& options);

    store::ObjectBatch list(const std::string& kind);
    store::StoredObject get(const std::string& kind, const std::string& name);
    store::WriteResult put(const core::Object& object, std::uint64_t ifVersion);
    core::ServerList serverList();

    // Asks each member for the revision that it has in force. Nothing for one that does not answer.
    std::map<std::string, std::optional<std::uint64_t>> revisionsInForce(const std::vector<std::string>& members);

    core::TimePoint now() const { return this->transport.now(); }
    void waitUntil(core::TimePoint time);

private:
    template <typename Result>
    Result run(boost::asio::awaitable<Result> call);

    boost::asio::io_context context;
    store::HttpTransport transport;
    platform::OwnStoreClient client;
};

}
