#pragma once

#include "wire/accepted_frame.h"
#include "wire/cancel_frame.h"
#include "wire/cancelled_frame.h"
#include "wire/config_push_frame.h"
#include "wire/credit_frame.h"
#include "wire/data_frame.h"
#include "wire/end_frame.h"
#include "wire/failed_frame.h"
#include "wire/heartbeat_frame.h"
#include "wire/hello_frame.h"
#include "wire/refused_frame.h"
#include "wire/response_head_frame.h"
#include "wire/resume_frame.h"
#include "wire/session_frame.h"
#include "wire/submit_frame.h"
#include "wire/warm_pace_frame.h"

#include <variant>

namespace bronzechute {

/** Any message between two processes of the system. */
using frame = std::variant<hello_frame, heartbeat_frame, config_push_frame, submit_frame, accepted_frame, refused_frame,
                           response_head_frame, data_frame, end_frame, failed_frame, credit_frame, cancel_frame,
                           cancelled_frame, resume_frame, session_frame, warm_pace_frame>;

} // namespace bronzechute
