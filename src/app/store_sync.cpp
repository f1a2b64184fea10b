#include "app/store_sync.h"

#include "core/errors.h"
#include "declare/kinds.h"
#include "wire/log.h"

namespace cranberryshed::app {

namespace asio = wire::asio;

namespace {

    std::vector<std::string> followedKinds()
    {
        const auto& names = core::Names<declare::Kind>::values;
        return { names.begin(), names.begin() + declare::operatorKindCount };
    }

}

StoreSync::StoreSync(asio::io_context& owner, Options syncOptions, ObjectCallback objectCallback, ServerListCallback serverListCallback)
    : context(owner)
    , options(std::move(syncOptions))
    , onObject(std::move(objectCallback))
    , onServerList(std::move(serverListCallback))
    , transport(owner, this->options.endpoint, platform::eraField)
    , httpClient(this->transport, { .writer = this->options.writer, .seed = this->options.seed })
{
}

StoreSync::~StoreSync()
{
    this->stop();
}

void StoreSync::stop()
{
    this->setWatching(false);
    this->transport.close();
}

void StoreSync::setWatching(bool wanted)
{
    if (wanted == static_cast<bool>(this->activeFlag))
        return;
    if (!wanted) {
        *this->activeFlag = false;
        this->activeFlag.reset();
        this->cancelFollow->emit(asio::cancellation_type::terminal);
        this->cancelFollow.reset();
        return;
    }
    this->activeFlag = std::make_shared<bool>(true);
    this->cancelFollow = std::make_shared<asio::cancellation_signal>();
    const auto take = [this, active = this->activeFlag](const std::vector<core::Object>& objects) {
        for (const core::Object& object : objects) {
            if (*active)
                this->onObject(object);
        }
    };
    const auto onUp = [this, active = this->activeFlag](bool isUp) {
        if (!*active)
            return;
        this->storeUp = isUp;
        wire::log(core::LogComponent::Store, isUp ? spdlog::level::info : spdlog::level::warn, "{}", isUp ? "the store answers" : "the store does not answer");
    };
    asio::co_spawn(this->context, this->httpClient.watchForever(followedKinds(), take, onUp),
        asio::bind_cancellation_slot(this->cancelFollow->slot(), [keep = this->cancelFollow](const std::exception_ptr&) {}));
    asio::co_spawn(this->context, this->readServers(this->activeFlag), asio::detached);
}

asio::awaitable<void> StoreSync::readServers(std::shared_ptr<bool> active)
{
    asio::steady_timer timer(this->context);
    while (*active) {
        try {
            const core::ServerList list = co_await this->httpClient.fetchServerList();
            if (*active)
                this->onServerList(list);
        } catch (const core::Error& error) {
            wire::log(core::LogComponent::Store, spdlog::level::debug, "could not read the server list from the store: {}", error.what());
        }
        timer.expires_after(this->options.listInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

}
