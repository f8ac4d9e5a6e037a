#pragma once

#include "standins/fetch_answer.h"

namespace bronzechute::standins {

/** What a fault row may end as. */
enum ending : unsigned { answered = 1, not_run = 2, unknown = 4, cut = 8 };

unsigned endingOf(const fetch_answer &answer);

} // namespace bronzechute::standins
