#pragma once

#include "http/http_server.h"
#include "standins/admin_fixture.h"
#include "tool/run_tool.h"

#include <atomic>
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

namespace bronzechute {

/** Forwards requests. While broken is set, the response bodies of requests other than GET fail before any data is sent.
 */
class broken_response_handler : public http_handler
{
public:
    explicit broken_response_handler(http_handler &next) : m_next(next)
    {
    }

    http_reply handle(const http_request &request) override
    {
        http_reply reply = m_next.handle(request);
        if (broken && request.method != "GET") {
            reply.stream = std::make_shared<broken_body>();
        }
        return reply;
    }

    std::atomic<bool> broken {false};

private:
    class broken_body : public body_source
    {
    public:
        ssize_t read(char *, std::size_t) override
        {
            return body_source::broken;
        }

        void onClosed() override
        {
        }
    };

    http_handler &m_next;
};

struct tool_result
{
    exit_code code;
    std::string out;
    std::string err;
};

/** Serves the administration API on its own port, with documentWithTeams() as the current configuration. */
class tool_test : public testing::Test
{
protected:
    void SetUp() override
    {
        m_fixture.repository().accept(documentWithTeams(), "root");
        m_keyFile = testing::TempDir() + "bronzechute_key_" + std::to_string(getpid());
        std::ofstream(m_keyFile) << "rootkey\n";
        m_options.keyFile = m_keyFile;
        auto server = http_server::start({}, m_handler);
        ASSERT_TRUE(server) << server.error().toString();
        m_server = std::move(server.value());
        m_options.server = "http://127.0.0.1:" + std::to_string(m_server->port());
    }

    void TearDown() override
    {
        std::remove(m_keyFile.c_str());
    }

    tool_result run(const std::vector<std::string> &words, const std::string &input = {})
    {
        std::istringstream in(input);
        std::ostringstream out;
        std::ostringstream err;
        const exit_code code = runTool(m_options, words, in, out, err);
        return {code, out.str(), err.str()};
    }

    admin_fixture m_fixture;
    broken_response_handler m_handler {m_fixture.api()};
    std::unique_ptr<http_server> m_server;
    tool_options m_options;
    std::string m_keyFile;
};

} // namespace bronzechute
