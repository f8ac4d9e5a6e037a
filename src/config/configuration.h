#pragma once

#include "config/client_account.h"
#include "config/data_centre.h"
#include "config/endpoint_override.h"
#include "config/endpoint_pool.h"
#include "config/operator_team.h"
#include "config/plain_service.h"
#include "config/traffic_class.h"

#include <string_view>
#include <vector>

namespace bronzechute {

/** The validated content of the operators' document. Immutable once published. */
struct configuration
{
    std::vector<endpoint_pool> pools;
    std::vector<traffic_class> classes;
    std::vector<client_account> accounts;
    std::vector<plain_service> services;
    std::vector<data_centre> dataCentres;
    std::vector<endpoint_override> endpoints;
    std::vector<operator_team> teams;

    friend bool operator==(const configuration &, const configuration &) = default;

    /** @returns the override of the endpoint, or null. */
    const endpoint_override *findEndpoint(std::string_view name) const;

    /** @returns whether the data centre accepts new work, which is also true if the document does not name it. */
    bool inService(std::string_view dataCentre) const;

    /** @returns the service with the longest prefix that matches whole segments of the path, or null. */
    const plain_service *findService(std::string_view path) const;

    /** @returns the first class in document order that matches, or null. */
    const traffic_class *findClass(std::string_view account, std::string_view model) const;

    /** @returns the account with an API key of this hash, or null. */
    const client_account *findAccount(std::string_view keyHash) const;

    /** @returns the endpoint's own labels combined with those of its override; see endpoint_override. */
    label_set effectiveLabels(std::string_view endpoint, const label_set &ownLabels) const;
};

} // namespace bronzechute
