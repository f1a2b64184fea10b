#include "app/crash_items.h"

#include "request/fingerprint.h"

#include <charconv>

namespace cranberryshed::app {

namespace {

    constexpr core::Duration firstCrashLifetime = std::chrono::minutes(1);

    core::Duration lifetimeOf(unsigned count)
    {
        return count > 1 ? fleet::itemLifetime : firstCrashLifetime;
    }

}

fleet::Item crashItem(core::Fingerprint fingerprint, unsigned count)
{
    return { .kind = fleet::ItemKind::Crash, .key = request::formatFingerprint(fingerprint), .remaining = lifetimeOf(count), .content = std::to_string(count) };
}

fleet::Item crashesForgottenItem(core::Fingerprint fingerprint)
{
    return { .kind = fleet::ItemKind::Crash, .key = request::formatFingerprint(fingerprint), .withdrawn = true, .remaining = fleet::itemLifetime };
}

// The item was published at the time of the crash.
std::optional<core::CrashRecord> readCrashItem(const fleet::Item& item, core::TimePoint now)
{
    unsigned count = 0;
    const auto [end, error] = std::from_chars(item.content.data(), item.content.data() + item.content.size(), count);
    if (error != std::errc() || count == 0)
        return std::nullopt;
    return core::CrashRecord { .count = count, .lastAt = now - std::max(core::Duration::zero(), lifetimeOf(count) - item.remaining) };
}

}
