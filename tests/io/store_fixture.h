#pragma once

#include "platform/store_api.h"
#include "platform/store_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <exception>
#include <future>
#include <optional>

namespace cranberryshed::tests {

// A stand-in for the platform's store and a client of it. Both use one io_context, which the test runs.
struct StoreFixture {
    explicit StoreFixture(store::ClientOptions options = quickOptions())
        : standIn(this->context)
        , transport(this->context, this->standIn.endpoint(), platform::eraField)
        , client(this->transport, std::move(options))
    {
    }

    // Options with short delays and timeouts, so that tests of failures end within seconds.
    static store::ClientOptions quickOptions()
    {
        return {
            .writer = "test",
            .seed = 1,
            .attemptTimeout = std::chrono::milliseconds(200),
            .totalTimeout = std::chrono::seconds(2),
            .backoff = { .firstDelay = std::chrono::milliseconds(5), .maxDelay = std::chrono::milliseconds(50) },
            .rateLimit = { .callsPerSecond = 10'000, .burst = 10'000 },
            .breaker = { .failuresToOpen = 5, .probeBackoff = { .firstDelay = std::chrono::milliseconds(20), .maxDelay = std::chrono::milliseconds(100) } },
        };
    }

    // Options with timeouts that are long enough for values of 1 MB on a busy machine.
    static store::ClientOptions slowOptions()
    {
        store::ClientOptions options = quickOptions();
        options.attemptTimeout = std::chrono::seconds(5);
        options.totalTimeout = std::chrono::seconds(20);
        return options;
    }

    // Runs a call until it has ended. Returns its result or throws its error.
    template <typename Result>
    Result run(boost::asio::awaitable<Result> call)
    {
        std::future<Result> future = boost::asio::co_spawn(this->context, std::move(call), boost::asio::use_future);
        while (future.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
            this->context.run_one();
        return future.get();
    }

    boost::asio::io_context context;
    platform::StoreStandIn standIn;
    store::HttpTransport transport;
    platform::NativeStoreClient client;
};

}
