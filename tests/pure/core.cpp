#include "core/errors.h"
#include "core/pipe.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace core = cranberryshed::core;

namespace {

using Step = core::Outcome<int, std::string>;

struct Double {
    Step operator()(int value, core::TimePoint) const { return Step::pass(value * 2); }
};

struct RejectAbove {
    int limit;
    Step operator()(int value, core::TimePoint) const { return value > this->limit ? Step::end("too large") : Step::pass(value); }
};

}

// Guards against a filter that runs although an earlier one ended the pipe.
TEST_CASE("a pipe stops at the first filter that ends it", "[core]")
{
    core::Pipe<Double, RejectAbove, Double> pipe { Double {}, RejectAbove { 10 }, Double {} };
    CHECK(pipe(4, {}).output() == 16);
    CHECK(pipe(6, {}).answer() == "too large");
}

// Guards against two kinds with one name, which would make logs, metrics and answers ambiguous.
TEST_CASE("every error kind has its own name and a consistent answer", "[core]")
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(core::ErrorKind::CallerGone); ++i) {
        const core::ErrorKindInfo& info = core::errorInfo(static_cast<core::ErrorKind>(i));
        CHECK(names.insert(info.name).second);
        CHECK(core::errorKindFromName(info.name) == static_cast<core::ErrorKind>(i));
        if (info.runState != core::RunState::NotRun)
            CHECK_FALSE(info.isRetryAllowed);
    }
}

TEST_CASE("names parse back to their enumerators", "[core]")
{
    CHECK(core::parseName<core::MemberState>("leaving") == core::MemberState::Leaving);
    CHECK_FALSE(core::parseName<core::MemberState>("away"));
    CHECK(core::joinedNames<core::Idempotency>() == "idempotent, non-idempotent");
}
