#pragma once

#include "core/declarations.h"
#include "core/object.h"
#include "platform/store_api.h"
#include "store/http_transport.h"
#include "wire/asio.h"

#include <functional>
#include <memory>
#include <string>

namespace cranberryshed::app {

// Watches the platform's store and reads its list of backend servers, while this entry VM is one of the store watchers
// of its failure domain. Runs on the control thread.
class StoreSync {
public:
    struct Options {
        std::string endpoint; // "IP:port" of the object API
        std::string writer; // name of this client in the store; unique per start of the process
        std::uint64_t seed = 0; // for random decisions of the client
        core::Duration listInterval = std::chrono::seconds(2); // between two reads of the server list
    };

    using ObjectCallback = std::function<void(core::Object)>;
    using ServerListCallback = std::function<void(const core::ServerList&)>;

    StoreSync(wire::asio::io_context&, Options, ObjectCallback, ServerListCallback);
    ~StoreSync();
    StoreSync(const StoreSync&) = delete;
    StoreSync& operator=(const StoreSync&) = delete;

    // Starts or stops watching the store and reading the server list.
    void setWatching(bool);

    bool isWatching() const { return static_cast<bool>(this->activeFlag); }
    bool storeIsUp() const { return this->storeUp; }
    platform::NativeStoreClient& client() { return this->httpClient; }
    void stop();

private:
    wire::asio::awaitable<void> readServers(std::shared_ptr<bool> active);

    wire::asio::io_context& context;
    Options options;
    ObjectCallback onObject;
    ServerListCallback onServerList;
    store::HttpTransport transport;
    platform::NativeStoreClient httpClient;
    std::shared_ptr<wire::asio::cancellation_signal> cancelFollow;
    std::shared_ptr<bool> activeFlag;
    bool storeUp = false;
};

}
