#pragma once

#include "fleet/messages.h"

#include <map>
#include <optional>
#include <string_view>

namespace cranberryshed::fleet {

// A statement of the store that an entry VM has received: no object of a kind changed after `revision` until `at`.
struct Confirmation {
    std::uint64_t revision = 0; // the position of the last change of the kind, as core::packPosition() gives it
    core::TimePoint at {};
};

// When the store last confirmed, to any member, the newest state of each kind of objects.
//
// A member that waits for news can't tell whether there is none or whether it is cut off. A few members ask the store
// often, and all others learn from every message how old the fleet's knowledge is, so each knows the age of its own.
class Confirmations {
public:
    // Records that the store has just confirmed `revision` as the last change of the kind.
    void confirm(std::string_view kind, std::uint64_t revision, core::TimePoint now);

    // Takes over the confirmations in the header of a received message, if they are newer.
    void handle(const Message&, core::TimePoint now);

    // Adds all confirmations to the header of a message that is about to be sent.
    void addTo(Message&, core::TimePoint now) const;

    // The newest confirmation of the kind; nothing if there is none.
    std::optional<Confirmation> find(std::string_view kind) const;

private:
    void keepIfNewer(NameId kind, const Confirmation&);

    std::map<NameId, Confirmation> newest;
};

}
