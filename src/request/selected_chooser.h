#pragma once

#include "request/choose.h"
#include "request/earliest_answer.h"

#include <variant>

namespace cranberryshed::request {

// The available choosers. All except the first two are only for comparison.
enum class ChooserKind : std::uint8_t { HomeSubset,
    EarliestAnswer,
    TwoChoices,
    LeastLatency,
    RoundRobin };

// The chooser selected in the settings, dispatched by std::visit instead of virtual functions.
class SelectedChooser {
public:
    // `threads` is the number of traffic threads of the process.
    SelectedChooser(ChooserKind kind, std::uint32_t threads)
        : chooser(make(kind, threads))
    {
    }

    std::optional<core::ServerIndex> choose(const ChooserInput& input, core::RandomEngine& random, core::TimePoint now)
    {
        return std::visit([&](auto& selected) { return selected.choose(input, random, now); }, this->chooser);
    }

    // The estimates behind the last choice; defaults if the chooser has none.
    ChoiceBasis basis() const
    {
        return std::visit(
            []<typename Selected>(const Selected& selected) -> ChoiceBasis {
                if constexpr (ExplainingChooser<Selected>)
                    return selected.basis();
                else
                    return {};
            },
            this->chooser);
    }

    void recordEnd(const AttemptFeedback& attempt, core::TimePoint now)
    {
        std::visit(
            [&]<typename Selected>(Selected& selected) {
                if constexpr (LearningChooser<Selected>)
                    selected.recordEnd(attempt, now);
            },
            this->chooser);
    }

private:
    using AnyChooser = std::variant<HomeSubset, EarliestAnswer, TwoChoices, LeastLatency, RoundRobin>;

    static AnyChooser make(ChooserKind kind, std::uint32_t threads)
    {
        switch (kind) {
        case ChooserKind::EarliestAnswer:
            return EarliestAnswer({ .threads = threads });
        case ChooserKind::TwoChoices:
            return TwoChoices();
        case ChooserKind::LeastLatency:
            return LeastLatency();
        case ChooserKind::RoundRobin:
            return RoundRobin();
        case ChooserKind::HomeSubset:
            break;
        }
        return HomeSubset({ .threads = threads });
    }

    AnyChooser chooser;
};

}

template <>
struct cranberryshed::core::Names<cranberryshed::request::ChooserKind> {
    static constexpr std::array<std::string_view, 5> values = { "home-subset", "earliest-answer", "two-choices", "least-latency", "round-robin" };
};
