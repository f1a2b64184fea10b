#include "store/era_tracker.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cranberryshed;
using namespace std::chrono_literals;
using store::EraVerdict;

namespace {

constexpr core::TimePoint start { 1h };

// Makes the tracker read an answer and checks how it is judged.
void checkAnswer(store::EraTracker& tracker, std::optional<std::string_view> stated, EraVerdict verdict, std::uint64_t era, core::TimePoint now = start)
{
    INFO("stated " << stated.value_or("no era") << " after " << (now - start) / 1ms << " ms");
    const store::EraReading reading = tracker.read(stated, now);
    CHECK(reading.verdict == verdict);
    CHECK(reading.era == era);
}

// Makes the tracker read the two answers that show a return.
void checkReturn(store::EraTracker& tracker, std::string_view stated, std::uint64_t era)
{
    checkAnswer(tracker, stated, EraVerdict::Unconfirmed, era);
    checkAnswer(tracker, stated, EraVerdict::Advanced, era);
}

}

// Guards against a first answer that counts as a return of the store.
TEST_CASE("the first stated era is the present one", "[era-tracker]")
{
    const std::string_view first = GENERATE("0", "1", "17", "5000");
    store::EraTracker tracker;
    CHECK(tracker.current() == 0);
    const std::uint64_t era = std::stoull(std::string(first));
    checkAnswer(tracker, first, EraVerdict::Current, era);
    checkAnswer(tracker, first, EraVerdict::Current, era);
    CHECK(tracker.current() == era);
}

// Guards against answers from before the store's return that count as news.
TEST_CASE("an answer of an earlier era is told apart from one of the present era", "[era-tracker]")
{
    store::EraTracker tracker;
    checkAnswer(tracker, "4", EraVerdict::Current, 4);
    checkReturn(tracker, "5", 5);
    checkAnswer(tracker, "4", EraVerdict::Earlier, 4);
    checkAnswer(tracker, "5", EraVerdict::Current, 5);
    checkAnswer(tracker, "3", EraVerdict::Earlier, 3);
    checkReturn(tracker, "7", 7); // a return that no answer has shown
    CHECK(tracker.current() == 7);
}

// Guards against a return that is missed because the era before it was 0.
TEST_CASE("the era rises from 0", "[era-tracker]")
{
    store::EraTracker tracker;
    checkAnswer(tracker, "0", EraVerdict::Current, 0);
    checkReturn(tracker, "1", 1);
    checkAnswer(tracker, "0", EraVerdict::Earlier, 0);
}

// Guards against a return that is not noticed because another one follows it, or because other answers come in between.
TEST_CASE("a later era needs two answers", "[era-tracker]")
{
    store::EraTracker tracker;
    checkAnswer(tracker, "4", EraVerdict::Current, 4);
    checkAnswer(tracker, "5", EraVerdict::Unconfirmed, 5);
    CHECK(tracker.current() == 4);
    SECTION("which can be of two returns")
    {
        checkAnswer(tracker, "6", EraVerdict::Unconfirmed, 6);
        CHECK(tracker.current() == 5);
        checkAnswer(tracker, "6", EraVerdict::Advanced, 6);
    }
    SECTION("which can arrive in another order")
    {
        checkAnswer(tracker, "7", EraVerdict::Unconfirmed, 7);
        checkAnswer(tracker, "5", EraVerdict::Current, 5);
        checkReturn(tracker, "7", 7);
    }
    SECTION("of which one without an era is none")
    {
        checkAnswer(tracker, std::nullopt, EraVerdict::Current, 4);
        checkAnswer(tracker, "5", EraVerdict::Advanced, 5);
    }
    SECTION("with none of the present era in between")
    {
        checkAnswer(tracker, "4", EraVerdict::Current, 4);
        checkAnswer(tracker, "5", EraVerdict::Unconfirmed, 5);
    }
    SECTION("with none of an earlier era in between")
    {
        checkAnswer(tracker, "3", EraVerdict::Earlier, 3);
        checkAnswer(tracker, "5", EraVerdict::Unconfirmed, 5);
    }
}

// Guards against a store or proxy that states no era on some answers.
TEST_CASE("an answer without an era belongs to the present one", "[era-tracker]")
{
    store::EraTracker tracker;
    checkAnswer(tracker, std::nullopt, EraVerdict::Current, 0);
    checkAnswer(tracker, "4", EraVerdict::Current, 4);
    checkAnswer(tracker, std::nullopt, EraVerdict::Current, 4);
    checkReturn(tracker, "5", 5);
    checkAnswer(tracker, std::nullopt, EraVerdict::Current, 5);
}

// Guards against invalid headers that end the use of the store or change the era.
TEST_CASE("an era that can't be read leaves the present one", "[era-tracker]")
{
    const std::string_view stated = GENERATE("", " ", "x", "-1", "+6", "6 ", "6.0", "0x6", "6,7", "18446744073709551616", "18446744073709551615", "99999999999999999999999", "16384", "1006");
    store::EraTracker tracker;
    SECTION("when one is known")
    {
        checkAnswer(tracker, "5", EraVerdict::Current, 5);
        checkAnswer(tracker, stated, EraVerdict::Unreadable, 5);
        checkReturn(tracker, "6", 6);
    }
    SECTION("when none is known and the text is no plausible number")
    {
        if (stated == "1006")
            return;
        checkAnswer(tracker, stated, EraVerdict::Unreadable, 0);
        checkAnswer(tracker, "6", EraVerdict::Current, 6);
    }
}

// Guards against knowledge that goes back, and against a process that stays without news, when two connections lead to
// different eras.
TEST_CASE("of two connections with different eras, the answers of the later one count", "[era-tracker]")
{
    store::EraTracker tracker;
    checkAnswer(tracker, "4", EraVerdict::Current, 4);
    checkReturn(tracker, "5", 5);
    for (core::Duration time = 100ms; time < 10s; time += 200ms) {
        checkAnswer(tracker, "4", EraVerdict::Earlier, 4, start + time);
        checkAnswer(tracker, "5", EraVerdict::Current, 5, start + time + 100ms);
    }
}

// Guards against a process that takes no news from the store, and whose states beat those of all others, because a single
// answer stated too high an era.
TEST_CASE("a single era that is too high changes nothing", "[era-tracker]")
{
    store::EraTracker tracker;
    checkAnswer(tracker, "5", EraVerdict::Current, 5);
    checkAnswer(tracker, "900", EraVerdict::Unconfirmed, 900);
    checkAnswer(tracker, "5", EraVerdict::Current, 5);
    checkReturn(tracker, "6", 6);
}

// Guards against a process that stays without news for good after the store has stated too high an era for a while.
TEST_CASE("a confirmed era that is too high doesn't make all later answers count as lost", "[era-tracker]")
{
    store::EraTracker tracker;
    checkAnswer(tracker, "5", EraVerdict::Current, 5);
    checkReturn(tracker, "900", 900);
    checkAnswer(tracker, "5", EraVerdict::Earlier, 5, start + 100ms);
    checkAnswer(tracker, "5", EraVerdict::Earlier, 5, start + 3s);
    checkAnswer(tracker, "5", EraVerdict::Unreadable, 900, start + 3100ms);
    checkAnswer(tracker, "5", EraVerdict::Unreadable, 900, start + 4s);
}
