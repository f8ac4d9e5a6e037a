#pragma once

#include "admin/admin_api.h"
#include "standins/fake_repository.h"

#include <nlohmann/json.hpp>

#include <string>

namespace bronzechute {

/** Live endpoint e1 in data centre buda with the label model=m. */
class fake_status : public status_source
{
public:
    nlohmann::json status() override
    {
        return {{"node", "n1"},
                {"data_centre", "pest"},
                {"endpoints", {{{"name", "e1"}, {"data_centre", "buda"}, {"labels", {{"model", "m"}}}}}}};
    }
};

/** An administration API over fakes. */
class admin_fixture
{
public:
    admin_fixture() : m_api(m_repository, m_status)
    {
    }

    /** @param key administration key; empty: no header */
    http_reply send(const std::string &method, const std::string &target, const std::string &body = {},
                    const std::string &key = {});

    fake_repository &repository()
    {
        return m_repository;
    }

    admin_api &api()
    {
        return m_api;
    }

private:
    fake_repository m_repository;
    fake_status m_status;
    admin_api m_api;
};

/** @returns a document with the teams root (operator, key "rootkey") and drafters (pool p, class c, key "teamkey"). */
configuration documentWithTeams();

/** @returns the document as text, with one text replaced. */
std::string replaced(const configuration &content, const std::string &text, const std::string &replacement);

} // namespace bronzechute
