#pragma once

#include "platform/store_api.h"
#include "platform/store_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <exception>
#include <future>
#include <optional>

namespace cranberryshed::tests {

// A stand-in store and a client of it on one io_context, run by the calling test.
struct StoreFixture {
    explicit StoreFixture(store::ClientOptions options = quickOptions())
        : standIn(this->context)
        , transport(this->context, this->standIn.endpoint())
        , client(this->transport, std::move(options))
    {
    }

    // Short delays, so that tests of failures stay within seconds.
    static store::ClientOptions quickOptions()
    {
        return {
            .writer = "test",
            .seed = 1,
            .callDeadline = std::chrono::milliseconds(200),
            .totalDeadline = std::chrono::seconds(2),
            .backoff = { .first = std::chrono::milliseconds(5), .longest = std::chrono::milliseconds(50) },
            .rate = { .perSecond = 10'000, .burst = 10'000 },
            .breaker = { .failuresToOpen = 5, .probes = { .first = std::chrono::milliseconds(20), .longest = std::chrono::milliseconds(100) } },
        };
    }

    // Deadlines for values of 1 MB on a busy machine.
    static store::ClientOptions slowOptions()
    {
        store::ClientOptions options = quickOptions();
        options.callDeadline = std::chrono::seconds(5);
        options.totalDeadline = std::chrono::seconds(20);
        return options;
    }

    // Runs one call to its end and returns its result or throws its error.
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
