#include "fleet/confirmations.h"

#include "fleet/packing.h"

#include <tuple>

namespace cranberryshed::fleet {

using namespace std::chrono_literals;

namespace {

    constexpr core::Duration maxAge = 1min; // an older confirmation is of no use to others
    constexpr std::size_t maxKinds = 16; // bounds the size of the header

}

void Confirmations::confirm(std::string_view kind, std::uint64_t revision, core::TimePoint now)
{
    this->keepIfNewer(nameId(kind), { .revision = revision, .at = now });
}

void Confirmations::handle(const Message& message, core::TimePoint now)
{
    for (const ConfirmationFact& fact : message.confirmations)
        this->keepIfNewer(fact.kind, { .revision = fact.revision, .at = now - fact.ageMs * 1ms });
}

void Confirmations::addTo(Message& message, core::TimePoint now) const
{
    for (const auto& [kind, confirmation] : this->newest) {
        if (now - confirmation.at <= maxAge)
            message.confirmations.push_back({ .kind = kind, .ageMs = static_cast<std::uint32_t>((now - confirmation.at) / 1ms), .revision = confirmation.revision });
    }
}

std::optional<Confirmation> Confirmations::find(std::string_view kind) const
{
    const auto found = this->newest.find(nameId(kind));
    return found == this->newest.end() ? std::nullopt : std::optional(found->second);
}

// A later change makes all confirmations of an earlier one obsolete, whenever they were made.
void Confirmations::keepIfNewer(NameId kind, const Confirmation& received)
{
    const auto known = this->newest.find(kind);
    if (known == this->newest.end()) {
        if (this->newest.size() < maxKinds)
            this->newest.emplace(kind, received);
    } else if (std::tie(known->second.revision, known->second.at) < std::tie(received.revision, received.at))
        known->second = received;
}

}
