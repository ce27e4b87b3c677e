// Tests of strings, resources and the list of actions.
#include <gtest/gtest.h>

#include "orioleglade.h"

TEST(Base, StringsCompareByLengthAndBytes)
{
	EXPECT_TRUE(ogl_str_eq(ogl_str("abc"), ogl_str("abc")));
	EXPECT_FALSE(ogl_str_eq(ogl_str("abc"), ogl_str("ab")));
	EXPECT_TRUE(ogl_str_eq(ogl_str(nullptr), ogl_str("")));
}

TEST(Base, ResourcesFitOnlyInEveryDimension)
{
	struct ogl_res room = {1000, 512, 1};
	struct ogl_res need = {1000, 512, 1};
	struct ogl_res more = {1, 513, 0};

	EXPECT_TRUE(ogl_res_fits(&need, &room));
	EXPECT_FALSE(ogl_res_fits(&more, &room));
	ogl_res_sub(&room, &need);
	EXPECT_EQ(0u, room.cpu_milli + room.mem_mb + room.accel);
}

TEST(Base, ActionsArePoppedInOrder)
{
	struct ogl_actions q;

	ogl_actions_init(&q);
	ogl_actions_new(&q, OGL_ACT_REPLY)->token = 1;
	ogl_actions_new(&q, OGL_ACT_EXIT)->token = 2;
	struct ogl_action *a = ogl_actions_pop(&q);
	EXPECT_EQ(1u, a->token);
	ogl_action_free(a);
	ogl_actions_clear(&q);
	EXPECT_EQ(nullptr, ogl_actions_pop(&q));
}
