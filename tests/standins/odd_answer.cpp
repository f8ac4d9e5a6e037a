#include "standins/odd_answer.h"

#include <chrono>
#include <thread>

namespace bronzechute::standins {

std::vector<odd_answer> oddAnswers()
{
    const std::string ok = "HTTP/1.1 200 OK";
    const std::string length = "Content-Length: 4\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string whole = "4\r\ntext\r\n0\r\n\r\n";
    return {
        {"status_000_is_an_answer", "HTTP/1.1 000 Nothing", length, "text"},
        {"status_000_precedes_an_answer", "HTTP/1.1 000 Nothing\r\n\r\n" + ok, length, "text"},
        {"status_099_precedes_an_answer", "HTTP/1.1 099 Nothing\r\n\r\n" + ok, length, "text"},
        {"unasked_upgrade_precedes_an_answer", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n" + ok, length, "text"},
        {"status_600_is_an_answer", "HTTP/1.1 600 Beyond", length, "text"},
        {"status_999_is_an_answer", "HTTP/1.1 999 Beyond", length, "text"},
        {"status_of_two_digits_is_an_answer", "HTTP/1.1 20 OK", length, "text"},
        {"status_of_four_digits_is_an_answer", "HTTP/1.1 2000 OK", length, "text"},
        {"status_with_a_sign_is_an_answer", "HTTP/1.1 +20 OK", length, "text"},
        {"control_byte_in_the_reason_is_passed_on", "HTTP/1.1 200 O\x01K", length, "text"},
        {"blank_in_a_name_is_passed_on", ok, length + "X Odd: 1\r\n", "text"},
        {"blank_before_the_colon_is_passed_on", ok, length + "X-Odd : 1\r\n", "text"},
        {"tab_in_a_name_is_passed_on", ok, length + "X\tOdd: 1\r\n", "text"},
        {"control_byte_in_a_name_is_passed_on", ok, length + "X\x01Odd: 1\r\n", "text"},
        {"empty_name_is_passed_on", ok, length + ": 1\r\n", "text"},
        {"line_without_a_colon_is_passed_on", ok, length + "X-Odd\r\n", "text"},
        {"control_byte_in_a_value_is_passed_on", ok,
         length
             + "X-Odd: 1\x01"
               "2\r\n",
         "text"},
        {"length_with_a_blank_in_its_name_makes_another_body", ok, "Content-Length : 2\r\n", "text"},
        {"coding_with_a_blank_in_its_name_makes_another_body", ok, "Transfer-Encoding : chunked\r\n", whole},
        {"two_lengths_make_another_body", ok, length + "Content-Length: 2\r\n", "text"},
        {"length_with_a_sign_makes_another_body", ok, "Content-Length: +4\r\n", "text"},
        {"length_in_hex_makes_another_body", ok, "Content-Length: 0x4\r\n", "text"},
        {"length_beside_chunks_makes_another_body", ok, length + chunked, whole},
        {"other_coding_is_passed_on_as_the_body", ok, "Transfer-Encoding: gzip\r\n", "text"},
        {"further_coding_is_passed_on_as_the_body", ok, "Transfer-Encoding: gzip, chunked\r\n", whole},
        {"coding_that_is_named_twice_is_passed_on_as_the_body", ok, chunked + chunked, whole},
    };
}

void sendPartAndReset(raw_connection &connection)
{
    constexpr std::chrono::milliseconds readingTime {50}; // In which the peer reads the part, and sends on.
    connection.readHead();
    connection.send("HTTP/1.1 200 OK\r\n\r\npar");
    std::this_thread::sleep_for(readingTime);
    connection.resetOnClose();
}

} // namespace bronzechute::standins
