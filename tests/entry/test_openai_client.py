import openai
import pytest

from magnoliaroad.standins.deployment import DEMO_KEY, deployment

TURNS = ("first", "second", "third")


async def ask(client, messages, stream):
    if not stream:
        answer = await client.chat.completions.create(
            model="planner", messages=messages
        )
        return answer.choices[0].message.content
    chunks = await client.chat.completions.create(
        model="planner", messages=messages, stream=True
    )
    parts = [c.choices[0].delta.content or "" async for c in chunks if c.choices]
    return "".join(parts)


@pytest.mark.parametrize("stream", [False, True])
async def test_openai_client_completes_a_conversation_of_three_turns(stream):
    async with deployment() as parts:
        client = openai.AsyncOpenAI(
            base_url=f"{parts.url}/v1",
            api_key=DEMO_KEY,
            max_retries=0,
            default_headers={"X-Program-Id": "p1"},
        )
        messages = []
        for text in TURNS:
            messages.append({"role": "user", "content": text})
            content = await ask(client, messages, stream)
            messages.append({"role": "assistant", "content": content})
        await client.close()
    assert all(m["content"] for m in messages)
    assert parts.engine.requests[-1]["body"]["messages"] == messages[:-1]


async def test_a_refusal_becomes_an_error_of_the_openai_client():
    async with deployment() as parts:
        client = openai.AsyncOpenAI(
            base_url=f"{parts.url}/v1", api_key="mr-wrong", max_retries=0
        )
        with pytest.raises(openai.AuthenticationError) as caught:
            await ask(client, [{"role": "user", "content": "hi"}], False)
        await client.close()
    assert caught.value.body["verdict"] == "not run"
