#pragma once

#include "admin/options.h"
#include "core/errors.h"
#include "core/pipe.h"
#include "declare/schema.h"
#include "store/store.h"

#include <concepts>
#include <map>
#include <utility>

namespace cranberryshed::admin {

// How a declared object differs from the store's.
enum class Change : std::uint8_t { Added,
    Changed,
    Same,
    OnlyInStore };

// What became of one object that was to be written.
enum class WriteOutcome : std::uint8_t { Written,
    Conflict,
    Unclear,
    NotWritten };

struct Difference {
    Change change = Change::Same;
    core::Object declared; // without content if OnlyInStore
    store::StoredObject stored; // version 0 if Added
    bool needsRewrite = false; // written although it is the same, since the store went back to an older state
};

struct WriteReport {
    WriteOutcome outcome = WriteOutcome::NotWritten;
    core::Object declared;
    store::StoredObject stored; // what the store holds now, as far as it is known
};

// A command on its way through the pipeline.
struct Context {
    Options options;
    std::vector<core::Object> declared; // by kind, then name
    std::map<std::pair<std::string, std::string>, store::StoredObject> stored; // deleted ones too
    std::optional<core::ServerList> servers;
    std::uint64_t maxStoreRevision = 0; // highest in the store
    std::uint64_t maxMemberRevision = 0; // highest in force on a member that answered
    std::vector<declare::Problem> problems;
    std::vector<Difference> differences;
    std::uint64_t revision = 0; // of this command's writes; 0 if there are none
    std::vector<WriteReport> writes;
    std::optional<core::ErrorKind> failure;
    std::string failureText;
};

// A filter passes the context on, or ends the pipe with a context that states the failure.
using Step = core::Outcome<Context, Context>;

inline Step fail(Context context, core::ErrorKind kind, std::string text)
{
    context.failure = kind;
    context.failureText = std::move(text);
    return Step::end(std::move(context));
}

// The calls that commands make to the store, each to its end. They throw as store::Client does.
template <typename Candidate>
concept AdminClient = requires(Candidate& store, const std::string& text, const core::Object& object, std::uint64_t version)
{
    {
        store.list(text)
        } -> std::same_as<store::ObjectBatch>;
    {
        store.put(object, version)
        } -> std::same_as<store::WriteResult>;
    {
        store.serverList()
        } -> std::same_as<core::ServerList>;
    // Revisions in force, by the member's address; nothing for a member that does not answer.
    {
        store.revisionsInForce(std::vector<std::string> {})
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
