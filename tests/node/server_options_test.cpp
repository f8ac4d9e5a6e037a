#include "node/server_options.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace bronzechute {
namespace {

TEST(server_options, refusesAMissingCertificateInsteadOfServingPlainHttp)
{
    daemon_settings settings;
    settings.listen.tlsCertificate = "/nonexistent/certificate.pem";
    settings.listen.tlsKey = "/nonexistent/key.pem";
    const auto options = makeServerOptions(settings, {});
    ASSERT_FALSE(options);
    EXPECT_EQ(options.error().code, errc::not_found);
}

TEST(server_options, readsCertificateAndKey)
{
    const auto directory = std::filesystem::temp_directory_path() / "bronzechute-server-options-test";
    std::filesystem::create_directories(directory);
    std::ofstream(directory / "certificate.pem") << "certificate";
    std::ofstream(directory / "key.pem") << "key";
    daemon_settings settings;
    settings.listen.tlsCertificate = directory / "certificate.pem";
    settings.listen.tlsKey = directory / "key.pem";
    const auto options = makeServerOptions(settings, {"127.0.0.2", 8443});
    std::filesystem::remove_all(directory);
    ASSERT_TRUE(options);
    EXPECT_EQ(options.value().tlsCertificate, "certificate");
    EXPECT_EQ(options.value().tlsKey, "key");
    EXPECT_EQ(options.value().address, "127.0.0.2");
    EXPECT_EQ(options.value().port, 8443);
}

} // namespace
} // namespace bronzechute
