#pragma once

#include "core/types.h"

#include <concepts>
#include <cstddef>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>

namespace cranberryshed::core {

// The result of a filter: the input of the next filter, or an answer that ends the pipe early.
template <typename OutputType, typename AnswerType>
class Outcome {
public:
    using Output = OutputType;
    using Answer = AnswerType;

    static Outcome pass(Output output) { return Outcome(std::in_place_index<0>, std::move(output)); }
    static Outcome end(Answer answer) { return Outcome(std::in_place_index<1>, std::move(answer)); }

    bool ended() const { return this->content.index() == 1; }
    Output& output() { return std::get<0>(this->content); }
    const Output& output() const { return std::get<0>(this->content); }
    Answer& answer() { return std::get<1>(this->content); }
    const Answer& answer() const { return std::get<1>(this->content); }

private:
    template <std::size_t position, typename Value>
    Outcome(std::in_place_index_t<position> index, Value&& value)
        : content(index, std::forward<Value>(value))
    {
    }

    std::variant<Output, Answer> content;
};

// A filter is one step of a pipe: it takes an input and the current time and returns an Outcome.
template <typename Candidate, typename Input>
concept Filter = requires(Candidate& filter, Input input, TimePoint now)
{
    {
        filter(std::move(input), now).ended()
        } -> std::same_as<bool>;
};

// A chain of filters that is fixed at compile time. The output of each filter is the input of the next one.
// The pipe does not own a filter that is given as a reference type; such a filter must outlive the pipe.
template <typename... Filters>
class Pipe {
public:
    Pipe() = default;

    explicit Pipe(Filters... filterList)
        : filters(std::forward<Filters>(filterList)...)
    {
    }

    // Passes the input through the chain. If a filter ends the pipe, the result is that filter's answer and later
    // filters do not run.
    template <typename Input>
    auto operator()(Input input, TimePoint now)
    {
        return this->template runFrom<0>(std::move(input), now);
    }

private:
    template <std::size_t position, typename Input>
    auto runFrom(Input input, TimePoint now)
    {
        static_assert(Filter<std::tuple_element_t<position, std::tuple<Filters...>>, Input>);
        auto outcome = std::get<position>(this->filters)(std::move(input), now);
        if constexpr (position + 1 == sizeof...(Filters))
            return outcome;
        else {
            using FinalOutcome = decltype(this->template runFrom<position + 1>(std::move(outcome.output()), now));
            if (outcome.ended())
                return FinalOutcome::end(std::move(outcome.answer()));
            return this->template runFrom<position + 1>(std::move(outcome.output()), now);
        }
    }

    std::tuple<Filters...> filters;
};

}
