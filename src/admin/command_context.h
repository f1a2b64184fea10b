#pragma once

#include "admin/options.h"
#include "core/errors.h"
#include "core/pipe.h"
#include "declare/schema.h"
#include "store/stored_object.h"

#include <concepts>
#include <map>
#include <utility>

namespace cranberryshed::admin {

// How a declared object differs from the same object in the store.
enum class Change : std::uint8_t { Added,
    Changed,
    Same,
    OnlyInStore };

// The result of writing one object.
enum class WriteOutcome : std::uint8_t { Written,
    Conflict, // the store has another version than the one that was compared
    Unclear, // no answer from the store; the write may have taken effect
    NotWritten };

// One object in the comparison of declarations and store.
struct Difference {
    Change change = Change::Same;
    core::Object declared; // without content if OnlyInStore
    store::StoredObject stored; // version 0 if Added
    bool needsRewrite = false; // written although its content is the same, because the store lost later writes
};

// One object that `apply` writes.
struct WriteReport {
    WriteOutcome outcome = WriteOutcome::NotWritten;
    core::Object declared;
    store::StoredObject stored; // the object that is now in the store, if known
};

// The state of a command, passed from filter to filter.
struct Context {
    Options options;
    std::vector<core::Object> declared; // sorted by kind, then name
    std::map<std::pair<std::string, std::string>, store::StoredObject> stored; // by kind and name, with deleted objects
    std::optional<core::ServerList> servers;
    std::uint64_t maxStoreRevision = 0; // highest revision in the store
    std::uint64_t maxMemberRevision = 0; // highest revision in force on the members that answered
    std::vector<declare::Problem> problems;
    std::vector<Difference> differences;
    std::uint64_t revision = 0; // of this command's writes; 0 if it writes nothing
    std::vector<WriteReport> writes;
    std::optional<core::ErrorKind> failure;
    std::string failureText;
};

// A filter passes the context on or ends the pipe with a context that contains the failure.
using Step = core::Outcome<Context, Context>;

// Ends the pipe with an error.
inline Step fail(Context context, core::ErrorKind kind, std::string text)
{
    context.failure = kind;
    context.failureText = std::move(text);
    return Step::end(std::move(context));
}

// The blocking calls that filters make to the store and to members. Calls to the store throw like those of
// store::Client.
template <typename Candidate>
concept AdminClient = requires(Candidate& client, const std::string& text, const core::Object& object, std::uint64_t version)
{
    {
        client.list(text)
        } -> std::same_as<store::ObjectBatch>;
    {
        client.put(object, version)
        } -> std::same_as<store::WriteResult>;
    {
        client.serverList()
        } -> std::same_as<core::ServerList>;
    // The revision in force on each member, by its address; nothing for a member without a valid answer.
    {
        client.revisionsInForce(std::vector<std::string> {})
        } -> std::same_as<std::map<std::string, std::optional<std::uint64_t>>>;
};

}

template <>
struct cranberryshed::core::Names<cranberryshed::admin::Change> {
    static constexpr std::array<std::string_view, 4> values = { "added", "changed", "same", "only-in-store" };
};

template <>
struct cranberryshed::core::Names<cranberryshed::admin::WriteOutcome> {
    static constexpr std::array<std::string_view, 4> values = { "written", "conflict", "unclear", "not-written" };
};
