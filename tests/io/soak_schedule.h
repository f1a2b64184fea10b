#pragma once

#include "core/names.h"
#include "soak_record.h"

#include <array>
#include <numeric>
#include <random>

namespace cranberryshed::test {

constexpr std::size_t soakVmCount = 5;

// What a soak does to VMs, to their ways to the store, or to the store.
enum class Disturbance : std::uint8_t { Silence, // a VM's connections to the store pass no more bytes; new ones work
    Hold, // bytes between a VM and the store wait
    HoldAnswers, // the same in one direction
    Reset, // a VM's connections to the store are reset
    Truncate, // the next answers of the store to a VM break off
    Pause, // a VM's process is stopped and continued
    Restart, // a VM's process is killed and started again
    StoreDown, // the store refuses all calls
    StoreSlow, // the store's answers are late
    StoreCompacted, // the store drops its history and cuts all watches
    StoreReturn }; // the store refuses all calls, comes back from a copy, and its writers write their last states again

}

template <>
struct cranberryshed::core::Names<cranberryshed::test::Disturbance> {
    static constexpr std::array<std::string_view, 11> values = { "silence", "hold", "hold answers", "reset", "truncate", "pause", "restart", "store down", "store slow", "store compacted", "store return" };
};

namespace cranberryshed::test {

struct Step {
    Milliseconds at {}; // from the start of the run
    Disturbance disturbance {};
    Milliseconds duration {};
    std::vector<std::size_t> vms {}; // empty: all
    std::optional<Milliseconds> copyAge {}; // of a return: when the outage begins; empty: the copy of the step before it
    unsigned lostStates = 0; // of a return: how many states each server writes between the copy and the outage
    Milliseconds rewriteDelay {}; // of a return: until its writers write again
};

inline std::string describe(const Step& step)
{
    std::string text = std::to_string(step.at.count()) + " ms " + std::string(core::nameOf(step.disturbance)) + " for " + std::to_string(step.duration.count()) + " ms, VMs";
    for (const std::size_t vm : step.vms)
        text += ' ' + std::to_string(vm);
    if (step.disturbance == Disturbance::StoreReturn)
        text += (step.copyAge ? ", copy of " + std::to_string(step.copyAge->count()) + " ms" : ", the last copy") + ", written again after " + std::to_string(step.rewriteDelay.count()) + " ms";
    return text;
}

inline Milliseconds randomTime(int low, int high, std::mt19937& random)
{
    return Milliseconds(std::uniform_int_distribution<int>(low, high)(random));
}

// A random choice of at least one VM.
inline std::vector<std::size_t> someVms(std::mt19937& random)
{
    std::vector<std::size_t> vms(soakVmCount);
    std::iota(vms.begin(), vms.end(), 0);
    std::ranges::shuffle(vms, random);
    vms.resize(1 + random() % soakVmCount);
    return vms;
}

// Random disturbances of random VMs or of the store, without returns of the store.
inline std::vector<Step> makeDisturbances(unsigned count, std::mt19937& random)
{
    constexpr auto kinds = static_cast<unsigned>(Disturbance::StoreReturn);
    std::vector<Step> steps;
    for (unsigned i = 0; i < count; ++i) {
        Step step { .at = randomTime(500, 17000, random), .disturbance = static_cast<Disturbance>(random() % kinds), .duration = randomTime(200, 5000, random) };
        if (step.disturbance < Disturbance::StoreDown)
            step.vms = someVms(random);
        steps.push_back(std::move(step));
    }
    return steps;
}

}
