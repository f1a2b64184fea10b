#include "declare/consistency.h"

#include "declare/text_formats.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>

namespace cranberryshed::declare {

namespace {

    // The table of caller blocks stores a site in one byte, and one of the 256 values means "no site".
    constexpr std::size_t maxSites = 255;

    std::string formatMinutes(double minutes)
    {
        std::array<char, 48> text {};
        if (minutes < 120)
            std::snprintf(text.data(), text.size(), "%.0f min", std::ceil(minutes));
        else
            std::snprintf(text.data(), text.size(), "%.1f h", std::ceil(minutes / 6) / 10);
        return text.data();
    }

    template <typename List>
    auto findByName(const List& list, const std::string& name)
    {
        return std::find_if(list.begin(), list.end(), [&](const auto& entry) { return entry.name == name; });
    }

    template <typename List>
    bool containsName(const List& list, const std::string& name)
    {
        return findByName(list, name) != list.end();
    }

    // Whether a request can match both classes equally well.
    bool canMatchSameRequest(const core::ClassDeclaration& first, const core::ClassDeclaration& second)
    {
        if (first.host != second.host || first.pathPrefix != second.pathPrefix)
            return false;
        if (first.methods.empty() || second.methods.empty())
            return first.methods.empty() == second.methods.empty();
        return std::any_of(first.methods.begin(), first.methods.end(), [&](const std::string& method) {
            return std::find(second.methods.begin(), second.methods.end(), method) != second.methods.end();
        });
    }

    // Collects the problems of declarations that are each valid according to their schema.
    class ConsistencyChecker {
    public:
        ConsistencyChecker(const core::Declarations& allDeclarations, const ConsistencyOptions& checkOptions)
            : declarations(allDeclarations)
            , options(checkOptions)
        {
        }

        std::vector<Problem> run()
        {
            this->checkRegions();
            this->checkClasses();
            this->checkTargets();
            this->checkBatches();
            this->checkSites();
            this->checkBlocks();
            return std::move(this->problems);
        }

    private:
        void addProblem(const std::string& object, const std::string& key, const std::string& text)
        {
            this->problems.push_back({ object + ' ' + key, text });
        }

        bool isUnchanged(const std::string& object) const { return this->options.unchanged.contains(object); }

        void checkRegions()
        {
            for (const core::RegionDeclaration& region : this->declarations.regions) {
                for (const core::LinkDeclaration& link : region.links) {
                    if (link.toRegion == region.name)
                        this->addProblem("region/" + region.name, "links", "contains a link to the region itself");
                    else if (!containsName(this->declarations.regions, link.toRegion))
                        this->addProblem("region/" + region.name, "links", "contains a link to region \"" + link.toRegion + "\", which is not declared");
                }
            }
            for (const core::DomainDeclaration& domain : this->declarations.domains) {
                if (!containsName(this->declarations.regions, domain.region))
                    this->addProblem("domain/" + domain.name, "region", "\"" + domain.region + "\" is not declared");
            }
        }

        void checkClasses()
        {
            const std::vector<core::ClassDeclaration>& classes = this->declarations.classes;
            for (std::size_t i = 0; i < classes.size(); ++i) {
                for (std::size_t j = i + 1; j < classes.size(); ++j) {
                    if (canMatchSameRequest(classes[i], classes[j]))
                        this->addProblem("class/" + classes[j].name, "pathPrefix", "matches the same requests as class \"" + classes[i].name + "\"");
                }
            }
        }

        void checkTargets()
        {
            std::map<std::string, std::size_t> targetsOf;
            for (const core::TargetDeclaration& target : this->declarations.targets) {
                std::string object = "target/" + target.className;
                if (!containsName(this->declarations.classes, target.className))
                    this->addProblem(object, "class", "\"" + target.className + "\" is not declared");
                if (++targetsOf[target.className] == 2)
                    this->addProblem(object, "class", "\"" + target.className + "\" has more than one target");
                if (target.headroom >= 1)
                    this->addProblem(object, "headroomPercent", "can't be satisfied: 100 % leaves no capacity for the class");
                this->checkAllowedRegions(object, target);
            }
        }

        void checkAllowedRegions(const std::string& object, const core::TargetDeclaration& target)
        {
            for (const std::string& region : target.allowedRegions) {
                if (!containsName(this->declarations.regions, region))
                    this->addProblem(object, "allowedRegions", "\"" + region + "\" is not declared");
            }
            bool hasAllowedDomain = std::any_of(this->declarations.domains.begin(), this->declarations.domains.end(), [&](const core::DomainDeclaration& domain) {
                const std::vector<std::string>& allowed = target.allowedRegions;
                return allowed.empty() || std::find(allowed.begin(), allowed.end(), domain.region) != allowed.end();
            });
            if (!hasAllowedDomain)
                this->addProblem(object, "allowedRegions", "can't be satisfied: no allowed region has a failure domain");
        }

        void checkBatches()
        {
            for (const core::BatchDeclaration& batch : this->declarations.batches) {
                std::string object = "batch/" + batch.name;
                bool hasEnded = batch.contractEnd <= this->options.now;
                if (hasEnded && !this->isUnchanged(object))
                    this->addProblem(object, "contractEnd", formatTime(batch.contractEnd) + " is in the past");
                if (!batch.replacement.empty())
                    this->checkReplacement(object, batch);
                if (!hasEnded)
                    this->checkDrain(object, batch);
            }
        }

        void checkReplacement(const std::string& object, const core::BatchDeclaration& batch)
        {
            auto other = findByName(this->declarations.batches, batch.replacement);
            if (batch.replacement == batch.name)
                this->addProblem(object, "replacement", "is the batch itself");
            else if (other == this->declarations.batches.end())
                this->addProblem(object, "replacement", "\"" + batch.replacement + "\" is not declared");
            else if (other->service != batch.service)
                this->addProblem(object, "replacement", "\"" + batch.replacement + "\" belongs to service \"" + other->service + "\"");
            else if (other->contractEnd <= batch.contractEnd)
                this->addProblem(object, "replacement", "\"" + batch.replacement + "\" has a contract that ends no later than that of the batch itself");
        }

        // The batch's share of its service's slots, 0 to 1. 1 if the service's slots are not known.
        double shareOf(const core::BatchDeclaration& batch) const
        {
            double batchSlots = 0;
            double serviceSlots = 0;
            if (this->options.servers) {
                for (const core::ServerListing& server : this->options.servers->servers) {
                    if (server.service != batch.service)
                        continue;
                    serviceSlots += server.slots;
                    batchSlots += server.batch == batch.name ? server.slots : 0;
                }
            }
            return serviceSlots > 0 ? batchSlots / serviceSlots : 1;
        }

        // A drain shifts at most the shift cap per minute, and the last request can run until the class's deadline.
        void checkDrain(const std::string& object, const core::BatchDeclaration& batch)
        {
            double minutesLeft = std::chrono::duration<double, std::ratio<60>>(batch.contractEnd - this->options.now).count();
            for (const core::TargetDeclaration& target : this->declarations.targets) {
                auto requestClass = findByName(this->declarations.classes, target.className);
                std::string targetObject = "target/" + target.className;
                if (requestClass == this->declarations.classes.end() || requestClass->service != batch.service || target.maxShiftPerMinute <= 0)
                    continue;
                if (this->isUnchanged(object) && this->isUnchanged(targetObject))
                    continue;
                double drainMinutes = this->shareOf(batch) / target.maxShiftPerMinute + std::chrono::duration<double, std::ratio<60>>(requestClass->deadline).count();
                if (drainMinutes > minutesLeft)
                    this->addProblem(targetObject, "shiftCapPercentPerMinute", "can't be satisfied: draining batch \"" + batch.name + "\" takes " + formatMinutes(drainMinutes) + " under this cap, but its contract ends in " + formatMinutes(minutesLeft));
            }
        }

        void checkSites()
        {
            if (this->declarations.sites.size() > maxSites)
                this->addProblem("site", "count", "at most " + std::to_string(maxSites) + " sites can be declared");
            for (const core::SiteDeclaration& site : this->declarations.sites) {
                for (const std::string& domain : site.nearestDomains) {
                    if (!containsName(this->declarations.domains, domain))
                        this->addProblem("site/" + site.name, "nearestDomains", "\"" + domain + "\" is not declared");
                }
            }
        }

        // Adds one problem per unknown site and per pair of sites, because there can be millions of blocks.
        void checkBlocks()
        {
            std::set<std::string> reported;
            std::map<std::pair<std::uint32_t, std::uint8_t>, const std::string*> siteOf;
            for (const core::AddressBlockDeclaration& block : this->declarations.blocks) {
                if (!containsName(this->declarations.sites, block.site) && reported.insert(block.site).second)
                    this->addProblem("blocks of " + block.site, "site", "\"" + block.site + "\" is not declared");
                auto [entry, isNew] = siteOf.try_emplace({ block.firstAddress, block.prefixLength }, &block.site);
                if (!isNew && *entry->second != block.site && reported.insert(*entry->second + ' ' + block.site).second)
                    this->addProblem("blocks of " + block.site, "prefixes", formatPrefix({ .firstAddress = block.firstAddress, .length = block.prefixLength }) + " also belongs to site \"" + *entry->second + "\"");
            }
        }

        const core::Declarations& declarations;
        const ConsistencyOptions& options;
        std::vector<Problem> problems;
    };

}

std::vector<Problem> checkConsistency(const core::Declarations& declarations, const ConsistencyOptions& options)
{
    return ConsistencyChecker(declarations, options).run();
}

}
