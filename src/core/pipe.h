#pragma once

#include "core/types.h"

#include <concepts>
#include <cstddef>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>

namespace cranberryshed::core {

// What a filter returns: the input of the next filter, or an answer that ends the pipe early.
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

// A filter does one job: it takes an input and the present time and returns an Outcome.
template <typename Candidate, typename Input>
concept Filter = requires(Candidate& filter, Input input, TimePoint now)
{
    {
        filter(std::move(input), now).ended()
        } -> std::same_as<bool>;
};

// A chain of filters, fixed at compile time. Each filter's output is the next one's input.
// A filter given as a reference type is not owned and must outlive the pipe.
template <typename... Filters>
class Pipe {
public:
    Pipe() = default;

    explicit Pipe(Filters... filterList)
        : filters(std::forward<Filters>(filterList)...)
    {
    }

    // Runs the input through the chain. The first filter that ends the pipe gives the answer.
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
            using Final = decltype(this->template runFrom<position + 1>(std::move(outcome.output()), now));
            if (outcome.ended())
                return Final::end(std::move(outcome.answer()));
            return this->template runFrom<position + 1>(std::move(outcome.output()), now);
        }
    }

    std::tuple<Filters...> filters;
};

}
