"""Checkers of the link messages, by message type."""

from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_hello(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'process', 'role', 'name', 'data_centre', 'config_version'], 'properties': {'type': {'const': 'hello', 'type': 'string'}, 'process': {'type': 'string'}, 'role': {'type': 'string', 'enum': ['entry', 'agent', 'gateway']}, 'name': {'type': 'string'}, 'data_centre': {'type': 'string'}, 'config_version': {'type': 'integer', 'minimum': 0}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'process', 'role', 'name', 'data_centre', 'config_version']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'process', 'role', 'name', 'data_centre', 'config_version'], 'properties': {'type': {'const': 'hello', 'type': 'string'}, 'process': {'type': 'string'}, 'role': {'type': 'string', 'enum': ['entry', 'agent', 'gateway']}, 'name': {'type': 'string'}, 'data_centre': {'type': 'string'}, 'config_version': {'type': 'integer', 'minimum': 0}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'hello', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'hello'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: hello", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'hello', 'type': 'string'}, rule='const')
        if "process" in data_keys:
            data_keys.remove("process")
            data__process = data["process"]
            if not isinstance(data__process, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".process must be string", value=data__process, name="" + (name_prefix or "data") + ".process", definition={'type': 'string'}, rule='type')
        if "role" in data_keys:
            data_keys.remove("role")
            data__role = data["role"]
            if not isinstance(data__role, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".role must be string", value=data__role, name="" + (name_prefix or "data") + ".role", definition={'type': 'string', 'enum': ['entry', 'agent', 'gateway']}, rule='type')
            if not (isinstance(data__role, str) and data__role == 'entry' or isinstance(data__role, str) and data__role == 'agent' or isinstance(data__role, str) and data__role == 'gateway'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".role must be one of ['entry', 'agent', 'gateway']", value=data__role, name="" + (name_prefix or "data") + ".role", definition={'type': 'string', 'enum': ['entry', 'agent', 'gateway']}, rule='enum')
        if "name" in data_keys:
            data_keys.remove("name")
            data__name = data["name"]
            if not isinstance(data__name, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".name must be string", value=data__name, name="" + (name_prefix or "data") + ".name", definition={'type': 'string'}, rule='type')
        if "data_centre" in data_keys:
            data_keys.remove("data_centre")
            data__datacentre = data["data_centre"]
            if not isinstance(data__datacentre, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".data_centre must be string", value=data__datacentre, name="" + (name_prefix or "data") + ".data_centre", definition={'type': 'string'}, rule='type')
        if "config_version" in data_keys:
            data_keys.remove("config_version")
            data__configversion = data["config_version"]
            if not isinstance(data__configversion, (int)) and not (isinstance(data__configversion, float) and data__configversion.is_integer()) or isinstance(data__configversion, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".config_version must be integer", value=data__configversion, name="" + (name_prefix or "data") + ".config_version", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__configversion, (int, float, Decimal)) and not isinstance(data__configversion, bool):
                if data__configversion < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".config_version must be bigger than or equal to 0", value=data__configversion, name="" + (name_prefix or "data") + ".config_version", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'process', 'role', 'name', 'data_centre', 'config_version'], 'properties': {'type': {'const': 'hello', 'type': 'string'}, 'process': {'type': 'string'}, 'role': {'type': 'string', 'enum': ['entry', 'agent', 'gateway']}, 'name': {'type': 'string'}, 'data_centre': {'type': 'string'}, 'config_version': {'type': 'integer', 'minimum': 0}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_heartbeat(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'sequence', 'echo', 'config_version'], 'properties': {'type': {'const': 'heartbeat', 'type': 'string'}, 'sequence': {'type': 'integer', 'minimum': 0}, 'echo': {'type': 'boolean'}, 'config_version': {'type': 'integer', 'minimum': 0}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'sequence', 'echo', 'config_version']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'sequence', 'echo', 'config_version'], 'properties': {'type': {'const': 'heartbeat', 'type': 'string'}, 'sequence': {'type': 'integer', 'minimum': 0}, 'echo': {'type': 'boolean'}, 'config_version': {'type': 'integer', 'minimum': 0}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'heartbeat', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'heartbeat'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: heartbeat", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'heartbeat', 'type': 'string'}, rule='const')
        if "sequence" in data_keys:
            data_keys.remove("sequence")
            data__sequence = data["sequence"]
            if not isinstance(data__sequence, (int)) and not (isinstance(data__sequence, float) and data__sequence.is_integer()) or isinstance(data__sequence, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".sequence must be integer", value=data__sequence, name="" + (name_prefix or "data") + ".sequence", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__sequence, (int, float, Decimal)) and not isinstance(data__sequence, bool):
                if data__sequence < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".sequence must be bigger than or equal to 0", value=data__sequence, name="" + (name_prefix or "data") + ".sequence", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "echo" in data_keys:
            data_keys.remove("echo")
            data__echo = data["echo"]
            if not isinstance(data__echo, (bool)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".echo must be boolean", value=data__echo, name="" + (name_prefix or "data") + ".echo", definition={'type': 'boolean'}, rule='type')
        if "config_version" in data_keys:
            data_keys.remove("config_version")
            data__configversion = data["config_version"]
            if not isinstance(data__configversion, (int)) and not (isinstance(data__configversion, float) and data__configversion.is_integer()) or isinstance(data__configversion, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".config_version must be integer", value=data__configversion, name="" + (name_prefix or "data") + ".config_version", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__configversion, (int, float, Decimal)) and not isinstance(data__configversion, bool):
                if data__configversion < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".config_version must be bigger than or equal to 0", value=data__configversion, name="" + (name_prefix or "data") + ".config_version", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'sequence', 'echo', 'config_version'], 'properties': {'type': {'const': 'heartbeat', 'type': 'string'}, 'sequence': {'type': 'integer', 'minimum': 0}, 'echo': {'type': 'boolean'}, 'config_version': {'type': 'integer', 'minimum': 0}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_load(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'target', 'queued', 'running', 'max_running', 'queued_cost_tokens', 'tokens_per_s', 'leaving', 'plan_backlog_tokens', 'prefixes'], 'properties': {'type': {'const': 'load', 'type': 'string'}, 'target': {'type': 'string'}, 'queued': {'type': 'integer', 'minimum': 0}, 'running': {'type': 'integer', 'minimum': 0}, 'max_running': {'type': 'integer', 'minimum': 0}, 'queued_cost_tokens': {'type': 'number', 'minimum': 0}, 'tokens_per_s': {'type': 'number', 'minimum': 0}, 'leaving': {'type': 'boolean'}, 'plan_backlog_tokens': {'type': 'object', 'additionalProperties': {'type': 'number'}}, 'prefixes': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 256}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'target', 'queued', 'running', 'max_running', 'queued_cost_tokens', 'tokens_per_s', 'leaving', 'plan_backlog_tokens', 'prefixes']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'target', 'queued', 'running', 'max_running', 'queued_cost_tokens', 'tokens_per_s', 'leaving', 'plan_backlog_tokens', 'prefixes'], 'properties': {'type': {'const': 'load', 'type': 'string'}, 'target': {'type': 'string'}, 'queued': {'type': 'integer', 'minimum': 0}, 'running': {'type': 'integer', 'minimum': 0}, 'max_running': {'type': 'integer', 'minimum': 0}, 'queued_cost_tokens': {'type': 'number', 'minimum': 0}, 'tokens_per_s': {'type': 'number', 'minimum': 0}, 'leaving': {'type': 'boolean'}, 'plan_backlog_tokens': {'type': 'object', 'additionalProperties': {'type': 'number'}}, 'prefixes': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 256}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'load', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'load'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: load", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'load', 'type': 'string'}, rule='const')
        if "target" in data_keys:
            data_keys.remove("target")
            data__target = data["target"]
            if not isinstance(data__target, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".target must be string", value=data__target, name="" + (name_prefix or "data") + ".target", definition={'type': 'string'}, rule='type')
        if "queued" in data_keys:
            data_keys.remove("queued")
            data__queued = data["queued"]
            if not isinstance(data__queued, (int)) and not (isinstance(data__queued, float) and data__queued.is_integer()) or isinstance(data__queued, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".queued must be integer", value=data__queued, name="" + (name_prefix or "data") + ".queued", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__queued, (int, float, Decimal)) and not isinstance(data__queued, bool):
                if data__queued < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".queued must be bigger than or equal to 0", value=data__queued, name="" + (name_prefix or "data") + ".queued", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "running" in data_keys:
            data_keys.remove("running")
            data__running = data["running"]
            if not isinstance(data__running, (int)) and not (isinstance(data__running, float) and data__running.is_integer()) or isinstance(data__running, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".running must be integer", value=data__running, name="" + (name_prefix or "data") + ".running", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__running, (int, float, Decimal)) and not isinstance(data__running, bool):
                if data__running < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".running must be bigger than or equal to 0", value=data__running, name="" + (name_prefix or "data") + ".running", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "max_running" in data_keys:
            data_keys.remove("max_running")
            data__maxrunning = data["max_running"]
            if not isinstance(data__maxrunning, (int)) and not (isinstance(data__maxrunning, float) and data__maxrunning.is_integer()) or isinstance(data__maxrunning, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".max_running must be integer", value=data__maxrunning, name="" + (name_prefix or "data") + ".max_running", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__maxrunning, (int, float, Decimal)) and not isinstance(data__maxrunning, bool):
                if data__maxrunning < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".max_running must be bigger than or equal to 0", value=data__maxrunning, name="" + (name_prefix or "data") + ".max_running", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "queued_cost_tokens" in data_keys:
            data_keys.remove("queued_cost_tokens")
            data__queuedcosttokens = data["queued_cost_tokens"]
            if not isinstance(data__queuedcosttokens, (int, float, Decimal)) or isinstance(data__queuedcosttokens, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".queued_cost_tokens must be number", value=data__queuedcosttokens, name="" + (name_prefix or "data") + ".queued_cost_tokens", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__queuedcosttokens, (int, float, Decimal)) and not isinstance(data__queuedcosttokens, bool):
                if data__queuedcosttokens < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".queued_cost_tokens must be bigger than or equal to 0", value=data__queuedcosttokens, name="" + (name_prefix or "data") + ".queued_cost_tokens", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if "tokens_per_s" in data_keys:
            data_keys.remove("tokens_per_s")
            data__tokenspers = data["tokens_per_s"]
            if not isinstance(data__tokenspers, (int, float, Decimal)) or isinstance(data__tokenspers, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".tokens_per_s must be number", value=data__tokenspers, name="" + (name_prefix or "data") + ".tokens_per_s", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__tokenspers, (int, float, Decimal)) and not isinstance(data__tokenspers, bool):
                if data__tokenspers < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".tokens_per_s must be bigger than or equal to 0", value=data__tokenspers, name="" + (name_prefix or "data") + ".tokens_per_s", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if "leaving" in data_keys:
            data_keys.remove("leaving")
            data__leaving = data["leaving"]
            if not isinstance(data__leaving, (bool)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".leaving must be boolean", value=data__leaving, name="" + (name_prefix or "data") + ".leaving", definition={'type': 'boolean'}, rule='type')
        if "plan_backlog_tokens" in data_keys:
            data_keys.remove("plan_backlog_tokens")
            data__planbacklogtokens = data["plan_backlog_tokens"]
            if not isinstance(data__planbacklogtokens, (dict)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".plan_backlog_tokens must be object", value=data__planbacklogtokens, name="" + (name_prefix or "data") + ".plan_backlog_tokens", definition={'type': 'object', 'additionalProperties': {'type': 'number'}}, rule='type')
            data__planbacklogtokens_is_dict = isinstance(data__planbacklogtokens, dict)
            if data__planbacklogtokens_is_dict:
                data__planbacklogtokens_keys = set(data__planbacklogtokens.keys())
                for data__planbacklogtokens_key in data__planbacklogtokens_keys:
                    if data__planbacklogtokens_key not in []:
                        data__planbacklogtokens_value = data__planbacklogtokens.get(data__planbacklogtokens_key)
                        if not isinstance(data__planbacklogtokens_value, (int, float, Decimal)) or isinstance(data__planbacklogtokens_value, bool):
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".plan_backlog_tokens.{data__planbacklogtokens_key}".format(**locals()) + " must be number", value=data__planbacklogtokens_value, name="" + (name_prefix or "data") + ".plan_backlog_tokens.{data__planbacklogtokens_key}".format(**locals()) + "", definition={'type': 'number'}, rule='type')
        if "prefixes" in data_keys:
            data_keys.remove("prefixes")
            data__prefixes = data["prefixes"]
            if not isinstance(data__prefixes, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".prefixes must be array", value=data__prefixes, name="" + (name_prefix or "data") + ".prefixes", definition={'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 256}, rule='type')
            data__prefixes_is_list = isinstance(data__prefixes, (list, tuple))
            if data__prefixes_is_list:
                data__prefixes_len = len(data__prefixes)
                if data__prefixes_len > 256:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".prefixes must contain less than or equal to 256 items", value=data__prefixes, name="" + (name_prefix or "data") + ".prefixes", definition={'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 256}, rule='maxItems')
                for data__prefixes_x, data__prefixes_item in enumerate(data__prefixes):
                    if not isinstance(data__prefixes_item, (int)) and not (isinstance(data__prefixes_item, float) and data__prefixes_item.is_integer()) or isinstance(data__prefixes_item, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".prefixes[{data__prefixes_x}]".format(**locals()) + " must be integer", value=data__prefixes_item, name="" + (name_prefix or "data") + ".prefixes[{data__prefixes_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                    if isinstance(data__prefixes_item, (int, float, Decimal)) and not isinstance(data__prefixes_item, bool):
                        if data__prefixes_item < 0:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".prefixes[{data__prefixes_x}]".format(**locals()) + " must be bigger than or equal to 0", value=data__prefixes_item, name="" + (name_prefix or "data") + ".prefixes[{data__prefixes_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'target', 'queued', 'running', 'max_running', 'queued_cost_tokens', 'tokens_per_s', 'leaving', 'plan_backlog_tokens', 'prefixes'], 'properties': {'type': {'const': 'load', 'type': 'string'}, 'target': {'type': 'string'}, 'queued': {'type': 'integer', 'minimum': 0}, 'running': {'type': 'integer', 'minimum': 0}, 'max_running': {'type': 'integer', 'minimum': 0}, 'queued_cost_tokens': {'type': 'number', 'minimum': 0}, 'tokens_per_s': {'type': 'number', 'minimum': 0}, 'leaving': {'type': 'boolean'}, 'plan_backlog_tokens': {'type': 'object', 'additionalProperties': {'type': 'number'}}, 'prefixes': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 256}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_leaving(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'name', 'reason'], 'properties': {'type': {'const': 'leaving', 'type': 'string'}, 'name': {'type': 'string'}, 'reason': {'type': 'string'}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'name', 'reason']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'name', 'reason'], 'properties': {'type': {'const': 'leaving', 'type': 'string'}, 'name': {'type': 'string'}, 'reason': {'type': 'string'}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'leaving', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'leaving'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: leaving", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'leaving', 'type': 'string'}, rule='const')
        if "name" in data_keys:
            data_keys.remove("name")
            data__name = data["name"]
            if not isinstance(data__name, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".name must be string", value=data__name, name="" + (name_prefix or "data") + ".name", definition={'type': 'string'}, rule='type')
        if "reason" in data_keys:
            data_keys.remove("reason")
            data__reason = data["reason"]
            if not isinstance(data__reason, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".reason must be string", value=data__reason, name="" + (name_prefix or "data") + ".reason", definition={'type': 'string'}, rule='type')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'name', 'reason'], 'properties': {'type': {'const': 'leaving', 'type': 'string'}, 'name': {'type': 'string'}, 'reason': {'type': 'string'}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_config(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'version', 'base_version', 'body'], 'properties': {'type': {'const': 'config', 'type': 'string'}, 'version': {'type': 'integer', 'minimum': 0}, 'base_version': {'type': 'integer', 'minimum': 0}, 'body': {}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'version', 'base_version', 'body']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'version', 'base_version', 'body'], 'properties': {'type': {'const': 'config', 'type': 'string'}, 'version': {'type': 'integer', 'minimum': 0}, 'base_version': {'type': 'integer', 'minimum': 0}, 'body': {}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'config', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'config'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: config", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'config', 'type': 'string'}, rule='const')
        if "version" in data_keys:
            data_keys.remove("version")
            data__version = data["version"]
            if not isinstance(data__version, (int)) and not (isinstance(data__version, float) and data__version.is_integer()) or isinstance(data__version, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".version must be integer", value=data__version, name="" + (name_prefix or "data") + ".version", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__version, (int, float, Decimal)) and not isinstance(data__version, bool):
                if data__version < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".version must be bigger than or equal to 0", value=data__version, name="" + (name_prefix or "data") + ".version", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "base_version" in data_keys:
            data_keys.remove("base_version")
            data__baseversion = data["base_version"]
            if not isinstance(data__baseversion, (int)) and not (isinstance(data__baseversion, float) and data__baseversion.is_integer()) or isinstance(data__baseversion, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".base_version must be integer", value=data__baseversion, name="" + (name_prefix or "data") + ".base_version", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__baseversion, (int, float, Decimal)) and not isinstance(data__baseversion, bool):
                if data__baseversion < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".base_version must be bigger than or equal to 0", value=data__baseversion, name="" + (name_prefix or "data") + ".base_version", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "body" in data_keys:
            data_keys.remove("body")
            data__body = data["body"]
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'version', 'base_version', 'body'], 'properties': {'type': {'const': 'config', 'type': 'string'}, 'version': {'type': 'integer', 'minimum': 0}, 'base_version': {'type': 'integer', 'minimum': 0}, 'body': {}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_suspects(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'entries'], 'properties': {'type': {'const': 'suspects', 'type': 'string'}, 'entries': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['digest', 'targets', 'expires_in_s'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'targets': {'type': 'array', 'items': {'type': 'string'}}, 'expires_in_s': {'type': 'number', 'minimum': 0}}}, 'maxItems': 1024}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'entries']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'entries'], 'properties': {'type': {'const': 'suspects', 'type': 'string'}, 'entries': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['digest', 'targets', 'expires_in_s'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'targets': {'type': 'array', 'items': {'type': 'string'}}, 'expires_in_s': {'type': 'number', 'minimum': 0}}}, 'maxItems': 1024}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'suspects', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'suspects'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: suspects", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'suspects', 'type': 'string'}, rule='const')
        if "entries" in data_keys:
            data_keys.remove("entries")
            data__entries = data["entries"]
            if not isinstance(data__entries, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".entries must be array", value=data__entries, name="" + (name_prefix or "data") + ".entries", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['digest', 'targets', 'expires_in_s'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'targets': {'type': 'array', 'items': {'type': 'string'}}, 'expires_in_s': {'type': 'number', 'minimum': 0}}}, 'maxItems': 1024}, rule='type')
            data__entries_is_list = isinstance(data__entries, (list, tuple))
            if data__entries_is_list:
                data__entries_len = len(data__entries)
                if data__entries_len > 1024:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".entries must contain less than or equal to 1024 items", value=data__entries, name="" + (name_prefix or "data") + ".entries", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['digest', 'targets', 'expires_in_s'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'targets': {'type': 'array', 'items': {'type': 'string'}}, 'expires_in_s': {'type': 'number', 'minimum': 0}}}, 'maxItems': 1024}, rule='maxItems')
                for data__entries_x, data__entries_item in enumerate(data__entries):
                    if not isinstance(data__entries_item, (dict)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".entries[{data__entries_x}]".format(**locals()) + " must be object", value=data__entries_item, name="" + (name_prefix or "data") + ".entries[{data__entries_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['digest', 'targets', 'expires_in_s'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'targets': {'type': 'array', 'items': {'type': 'string'}}, 'expires_in_s': {'type': 'number', 'minimum': 0}}}, rule='type')
                    data__entries_item_is_dict = isinstance(data__entries_item, dict)
                    if data__entries_item_is_dict:
                        data__entries_item__missing_keys = set(['digest', 'targets', 'expires_in_s']) - data__entries_item.keys()
                        if data__entries_item__missing_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".entries[{data__entries_x}]".format(**locals()) + " must contain " + (str(sorted(data__entries_item__missing_keys)) + " properties"), value=data__entries_item, name="" + (name_prefix or "data") + ".entries[{data__entries_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['digest', 'targets', 'expires_in_s'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'targets': {'type': 'array', 'items': {'type': 'string'}}, 'expires_in_s': {'type': 'number', 'minimum': 0}}}, rule='required')
                        data__entries_item_keys = set(data__entries_item.keys())
                        if "digest" in data__entries_item_keys:
                            data__entries_item_keys.remove("digest")
                            data__entries_item__digest = data__entries_item["digest"]
                            if not isinstance(data__entries_item__digest, (int)) and not (isinstance(data__entries_item__digest, float) and data__entries_item__digest.is_integer()) or isinstance(data__entries_item__digest, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".entries[{data__entries_x}].digest".format(**locals()) + " must be integer", value=data__entries_item__digest, name="" + (name_prefix or "data") + ".entries[{data__entries_x}].digest".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__entries_item__digest, (int, float, Decimal)) and not isinstance(data__entries_item__digest, bool):
                                if data__entries_item__digest < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".entries[{data__entries_x}].digest".format(**locals()) + " must be bigger than or equal to 0", value=data__entries_item__digest, name="" + (name_prefix or "data") + ".entries[{data__entries_x}].digest".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "targets" in data__entries_item_keys:
                            data__entries_item_keys.remove("targets")
                            data__entries_item__targets = data__entries_item["targets"]
                            if not isinstance(data__entries_item__targets, (list, tuple)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".entries[{data__entries_x}].targets".format(**locals()) + " must be array", value=data__entries_item__targets, name="" + (name_prefix or "data") + ".entries[{data__entries_x}].targets".format(**locals()) + "", definition={'type': 'array', 'items': {'type': 'string'}}, rule='type')
                            data__entries_item__targets_is_list = isinstance(data__entries_item__targets, (list, tuple))
                            if data__entries_item__targets_is_list:
                                data__entries_item__targets_len = len(data__entries_item__targets)
                                for data__entries_item__targets_x, data__entries_item__targets_item in enumerate(data__entries_item__targets):
                                    if not isinstance(data__entries_item__targets_item, (str)):
                                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".entries[{data__entries_x}].targets[{data__entries_item__targets_x}]".format(**locals()) + " must be string", value=data__entries_item__targets_item, name="" + (name_prefix or "data") + ".entries[{data__entries_x}].targets[{data__entries_item__targets_x}]".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "expires_in_s" in data__entries_item_keys:
                            data__entries_item_keys.remove("expires_in_s")
                            data__entries_item__expiresins = data__entries_item["expires_in_s"]
                            if not isinstance(data__entries_item__expiresins, (int, float, Decimal)) or isinstance(data__entries_item__expiresins, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".entries[{data__entries_x}].expires_in_s".format(**locals()) + " must be number", value=data__entries_item__expiresins, name="" + (name_prefix or "data") + ".entries[{data__entries_x}].expires_in_s".format(**locals()) + "", definition={'type': 'number', 'minimum': 0}, rule='type')
                            if isinstance(data__entries_item__expiresins, (int, float, Decimal)) and not isinstance(data__entries_item__expiresins, bool):
                                if data__entries_item__expiresins < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".entries[{data__entries_x}].expires_in_s".format(**locals()) + " must be bigger than or equal to 0", value=data__entries_item__expiresins, name="" + (name_prefix or "data") + ".entries[{data__entries_x}].expires_in_s".format(**locals()) + "", definition={'type': 'number', 'minimum': 0}, rule='minimum')
                        if data__entries_item_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".entries[{data__entries_x}]".format(**locals()) + " must not contain "+str(data__entries_item_keys)+" properties", value=data__entries_item, name="" + (name_prefix or "data") + ".entries[{data__entries_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['digest', 'targets', 'expires_in_s'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'targets': {'type': 'array', 'items': {'type': 'string'}}, 'expires_in_s': {'type': 'number', 'minimum': 0}}}, rule='additionalProperties')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'entries'], 'properties': {'type': {'const': 'suspects', 'type': 'string'}, 'entries': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['digest', 'targets', 'expires_in_s'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'targets': {'type': 'array', 'items': {'type': 'string'}}, 'expires_in_s': {'type': 'number', 'minimum': 0}}}, 'maxItems': 1024}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_responses_seen(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'responses'], 'properties': {'type': {'const': 'responses_seen', 'type': 'string'}, 'responses': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['digest', 'age_s', 'cleared_targets'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}, 'cleared_targets': {'type': 'array', 'items': {'type': 'string'}}}}, 'maxItems': 1024}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'responses']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'responses'], 'properties': {'type': {'const': 'responses_seen', 'type': 'string'}, 'responses': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['digest', 'age_s', 'cleared_targets'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}, 'cleared_targets': {'type': 'array', 'items': {'type': 'string'}}}}, 'maxItems': 1024}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'responses_seen', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'responses_seen'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: responses_seen", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'responses_seen', 'type': 'string'}, rule='const')
        if "responses" in data_keys:
            data_keys.remove("responses")
            data__responses = data["responses"]
            if not isinstance(data__responses, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".responses must be array", value=data__responses, name="" + (name_prefix or "data") + ".responses", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['digest', 'age_s', 'cleared_targets'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}, 'cleared_targets': {'type': 'array', 'items': {'type': 'string'}}}}, 'maxItems': 1024}, rule='type')
            data__responses_is_list = isinstance(data__responses, (list, tuple))
            if data__responses_is_list:
                data__responses_len = len(data__responses)
                if data__responses_len > 1024:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".responses must contain less than or equal to 1024 items", value=data__responses, name="" + (name_prefix or "data") + ".responses", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['digest', 'age_s', 'cleared_targets'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}, 'cleared_targets': {'type': 'array', 'items': {'type': 'string'}}}}, 'maxItems': 1024}, rule='maxItems')
                for data__responses_x, data__responses_item in enumerate(data__responses):
                    if not isinstance(data__responses_item, (dict)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".responses[{data__responses_x}]".format(**locals()) + " must be object", value=data__responses_item, name="" + (name_prefix or "data") + ".responses[{data__responses_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['digest', 'age_s', 'cleared_targets'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}, 'cleared_targets': {'type': 'array', 'items': {'type': 'string'}}}}, rule='type')
                    data__responses_item_is_dict = isinstance(data__responses_item, dict)
                    if data__responses_item_is_dict:
                        data__responses_item__missing_keys = set(['digest', 'age_s', 'cleared_targets']) - data__responses_item.keys()
                        if data__responses_item__missing_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".responses[{data__responses_x}]".format(**locals()) + " must contain " + (str(sorted(data__responses_item__missing_keys)) + " properties"), value=data__responses_item, name="" + (name_prefix or "data") + ".responses[{data__responses_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['digest', 'age_s', 'cleared_targets'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}, 'cleared_targets': {'type': 'array', 'items': {'type': 'string'}}}}, rule='required')
                        data__responses_item_keys = set(data__responses_item.keys())
                        if "digest" in data__responses_item_keys:
                            data__responses_item_keys.remove("digest")
                            data__responses_item__digest = data__responses_item["digest"]
                            if not isinstance(data__responses_item__digest, (int)) and not (isinstance(data__responses_item__digest, float) and data__responses_item__digest.is_integer()) or isinstance(data__responses_item__digest, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".responses[{data__responses_x}].digest".format(**locals()) + " must be integer", value=data__responses_item__digest, name="" + (name_prefix or "data") + ".responses[{data__responses_x}].digest".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__responses_item__digest, (int, float, Decimal)) and not isinstance(data__responses_item__digest, bool):
                                if data__responses_item__digest < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".responses[{data__responses_x}].digest".format(**locals()) + " must be bigger than or equal to 0", value=data__responses_item__digest, name="" + (name_prefix or "data") + ".responses[{data__responses_x}].digest".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "age_s" in data__responses_item_keys:
                            data__responses_item_keys.remove("age_s")
                            data__responses_item__ages = data__responses_item["age_s"]
                            if not isinstance(data__responses_item__ages, (int, float, Decimal)) or isinstance(data__responses_item__ages, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".responses[{data__responses_x}].age_s".format(**locals()) + " must be number", value=data__responses_item__ages, name="" + (name_prefix or "data") + ".responses[{data__responses_x}].age_s".format(**locals()) + "", definition={'type': 'number', 'minimum': 0}, rule='type')
                            if isinstance(data__responses_item__ages, (int, float, Decimal)) and not isinstance(data__responses_item__ages, bool):
                                if data__responses_item__ages < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".responses[{data__responses_x}].age_s".format(**locals()) + " must be bigger than or equal to 0", value=data__responses_item__ages, name="" + (name_prefix or "data") + ".responses[{data__responses_x}].age_s".format(**locals()) + "", definition={'type': 'number', 'minimum': 0}, rule='minimum')
                        if "cleared_targets" in data__responses_item_keys:
                            data__responses_item_keys.remove("cleared_targets")
                            data__responses_item__clearedtargets = data__responses_item["cleared_targets"]
                            if not isinstance(data__responses_item__clearedtargets, (list, tuple)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".responses[{data__responses_x}].cleared_targets".format(**locals()) + " must be array", value=data__responses_item__clearedtargets, name="" + (name_prefix or "data") + ".responses[{data__responses_x}].cleared_targets".format(**locals()) + "", definition={'type': 'array', 'items': {'type': 'string'}}, rule='type')
                            data__responses_item__clearedtargets_is_list = isinstance(data__responses_item__clearedtargets, (list, tuple))
                            if data__responses_item__clearedtargets_is_list:
                                data__responses_item__clearedtargets_len = len(data__responses_item__clearedtargets)
                                for data__responses_item__clearedtargets_x, data__responses_item__clearedtargets_item in enumerate(data__responses_item__clearedtargets):
                                    if not isinstance(data__responses_item__clearedtargets_item, (str)):
                                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".responses[{data__responses_x}].cleared_targets[{data__responses_item__clearedtargets_x}]".format(**locals()) + " must be string", value=data__responses_item__clearedtargets_item, name="" + (name_prefix or "data") + ".responses[{data__responses_x}].cleared_targets[{data__responses_item__clearedtargets_x}]".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if data__responses_item_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".responses[{data__responses_x}]".format(**locals()) + " must not contain "+str(data__responses_item_keys)+" properties", value=data__responses_item, name="" + (name_prefix or "data") + ".responses[{data__responses_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['digest', 'age_s', 'cleared_targets'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}, 'cleared_targets': {'type': 'array', 'items': {'type': 'string'}}}}, rule='additionalProperties')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'responses'], 'properties': {'type': {'const': 'responses_seen', 'type': 'string'}, 'responses': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['digest', 'age_s', 'cleared_targets'], 'properties': {'digest': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}, 'cleared_targets': {'type': 'array', 'items': {'type': 'string'}}}}, 'maxItems': 1024}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_part_evidence(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'deaths', 'outputs'], 'properties': {'type': {'const': 'part_evidence', 'type': 'string'}, 'deaths': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'age_s', 'prompts'], 'properties': {'target': {'type': 'string'}, 'age_s': {'type': 'number', 'minimum': 0}, 'prompts': {'type': 'array', 'items': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 32}, 'maxItems': 64}}}, 'maxItems': 64}, 'outputs': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['part', 'age_s'], 'properties': {'part': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}}}, 'maxItems': 256}, 'contrast_age_s': {'type': 'number', 'minimum': 0}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'deaths', 'outputs']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'deaths', 'outputs'], 'properties': {'type': {'const': 'part_evidence', 'type': 'string'}, 'deaths': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'age_s', 'prompts'], 'properties': {'target': {'type': 'string'}, 'age_s': {'type': 'number', 'minimum': 0}, 'prompts': {'type': 'array', 'items': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 32}, 'maxItems': 64}}}, 'maxItems': 64}, 'outputs': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['part', 'age_s'], 'properties': {'part': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}}}, 'maxItems': 256}, 'contrast_age_s': {'type': 'number', 'minimum': 0}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'part_evidence', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'part_evidence'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: part_evidence", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'part_evidence', 'type': 'string'}, rule='const')
        if "deaths" in data_keys:
            data_keys.remove("deaths")
            data__deaths = data["deaths"]
            if not isinstance(data__deaths, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".deaths must be array", value=data__deaths, name="" + (name_prefix or "data") + ".deaths", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'age_s', 'prompts'], 'properties': {'target': {'type': 'string'}, 'age_s': {'type': 'number', 'minimum': 0}, 'prompts': {'type': 'array', 'items': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 32}, 'maxItems': 64}}}, 'maxItems': 64}, rule='type')
            data__deaths_is_list = isinstance(data__deaths, (list, tuple))
            if data__deaths_is_list:
                data__deaths_len = len(data__deaths)
                if data__deaths_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".deaths must contain less than or equal to 64 items", value=data__deaths, name="" + (name_prefix or "data") + ".deaths", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'age_s', 'prompts'], 'properties': {'target': {'type': 'string'}, 'age_s': {'type': 'number', 'minimum': 0}, 'prompts': {'type': 'array', 'items': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 32}, 'maxItems': 64}}}, 'maxItems': 64}, rule='maxItems')
                for data__deaths_x, data__deaths_item in enumerate(data__deaths):
                    if not isinstance(data__deaths_item, (dict)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".deaths[{data__deaths_x}]".format(**locals()) + " must be object", value=data__deaths_item, name="" + (name_prefix or "data") + ".deaths[{data__deaths_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'age_s', 'prompts'], 'properties': {'target': {'type': 'string'}, 'age_s': {'type': 'number', 'minimum': 0}, 'prompts': {'type': 'array', 'items': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 32}, 'maxItems': 64}}}, rule='type')
                    data__deaths_item_is_dict = isinstance(data__deaths_item, dict)
                    if data__deaths_item_is_dict:
                        data__deaths_item__missing_keys = set(['target', 'age_s', 'prompts']) - data__deaths_item.keys()
                        if data__deaths_item__missing_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".deaths[{data__deaths_x}]".format(**locals()) + " must contain " + (str(sorted(data__deaths_item__missing_keys)) + " properties"), value=data__deaths_item, name="" + (name_prefix or "data") + ".deaths[{data__deaths_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'age_s', 'prompts'], 'properties': {'target': {'type': 'string'}, 'age_s': {'type': 'number', 'minimum': 0}, 'prompts': {'type': 'array', 'items': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 32}, 'maxItems': 64}}}, rule='required')
                        data__deaths_item_keys = set(data__deaths_item.keys())
                        if "target" in data__deaths_item_keys:
                            data__deaths_item_keys.remove("target")
                            data__deaths_item__target = data__deaths_item["target"]
                            if not isinstance(data__deaths_item__target, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".deaths[{data__deaths_x}].target".format(**locals()) + " must be string", value=data__deaths_item__target, name="" + (name_prefix or "data") + ".deaths[{data__deaths_x}].target".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "age_s" in data__deaths_item_keys:
                            data__deaths_item_keys.remove("age_s")
                            data__deaths_item__ages = data__deaths_item["age_s"]
                            if not isinstance(data__deaths_item__ages, (int, float, Decimal)) or isinstance(data__deaths_item__ages, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".deaths[{data__deaths_x}].age_s".format(**locals()) + " must be number", value=data__deaths_item__ages, name="" + (name_prefix or "data") + ".deaths[{data__deaths_x}].age_s".format(**locals()) + "", definition={'type': 'number', 'minimum': 0}, rule='type')
                            if isinstance(data__deaths_item__ages, (int, float, Decimal)) and not isinstance(data__deaths_item__ages, bool):
                                if data__deaths_item__ages < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".deaths[{data__deaths_x}].age_s".format(**locals()) + " must be bigger than or equal to 0", value=data__deaths_item__ages, name="" + (name_prefix or "data") + ".deaths[{data__deaths_x}].age_s".format(**locals()) + "", definition={'type': 'number', 'minimum': 0}, rule='minimum')
                        if "prompts" in data__deaths_item_keys:
                            data__deaths_item_keys.remove("prompts")
                            data__deaths_item__prompts = data__deaths_item["prompts"]
                            if not isinstance(data__deaths_item__prompts, (list, tuple)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".deaths[{data__deaths_x}].prompts".format(**locals()) + " must be array", value=data__deaths_item__prompts, name="" + (name_prefix or "data") + ".deaths[{data__deaths_x}].prompts".format(**locals()) + "", definition={'type': 'array', 'items': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 32}, 'maxItems': 64}, rule='type')
                            data__deaths_item__prompts_is_list = isinstance(data__deaths_item__prompts, (list, tuple))
                            if data__deaths_item__prompts_is_list:
                                data__deaths_item__prompts_len = len(data__deaths_item__prompts)
                                if data__deaths_item__prompts_len > 64:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".deaths[{data__deaths_x}].prompts".format(**locals()) + " must contain less than or equal to 64 items", value=data__deaths_item__prompts, name="" + (name_prefix or "data") + ".deaths[{data__deaths_x}].prompts".format(**locals()) + "", definition={'type': 'array', 'items': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 32}, 'maxItems': 64}, rule='maxItems')
                                for data__deaths_item__prompts_x, data__deaths_item__prompts_item in enumerate(data__deaths_item__prompts):
                                    if not isinstance(data__deaths_item__prompts_item, (list, tuple)):
                                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".deaths[{data__deaths_x}].prompts[{data__deaths_item__prompts_x}]".format(**locals()) + " must be array", value=data__deaths_item__prompts_item, name="" + (name_prefix or "data") + ".deaths[{data__deaths_x}].prompts[{data__deaths_item__prompts_x}]".format(**locals()) + "", definition={'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 32}, rule='type')
                                    data__deaths_item__prompts_item_is_list = isinstance(data__deaths_item__prompts_item, (list, tuple))
                                    if data__deaths_item__prompts_item_is_list:
                                        data__deaths_item__prompts_item_len = len(data__deaths_item__prompts_item)
                                        if data__deaths_item__prompts_item_len > 32:
                                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".deaths[{data__deaths_x}].prompts[{data__deaths_item__prompts_x}]".format(**locals()) + " must contain less than or equal to 32 items", value=data__deaths_item__prompts_item, name="" + (name_prefix or "data") + ".deaths[{data__deaths_x}].prompts[{data__deaths_item__prompts_x}]".format(**locals()) + "", definition={'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 32}, rule='maxItems')
                                        for data__deaths_item__prompts_item_x, data__deaths_item__prompts_item_item in enumerate(data__deaths_item__prompts_item):
                                            if not isinstance(data__deaths_item__prompts_item_item, (int)) and not (isinstance(data__deaths_item__prompts_item_item, float) and data__deaths_item__prompts_item_item.is_integer()) or isinstance(data__deaths_item__prompts_item_item, bool):
                                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".deaths[{data__deaths_x}].prompts[{data__deaths_item__prompts_x}][{data__deaths_item__prompts_item_x}]".format(**locals()) + " must be integer", value=data__deaths_item__prompts_item_item, name="" + (name_prefix or "data") + ".deaths[{data__deaths_x}].prompts[{data__deaths_item__prompts_x}][{data__deaths_item__prompts_item_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                                            if isinstance(data__deaths_item__prompts_item_item, (int, float, Decimal)) and not isinstance(data__deaths_item__prompts_item_item, bool):
                                                if data__deaths_item__prompts_item_item < 0:
                                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".deaths[{data__deaths_x}].prompts[{data__deaths_item__prompts_x}][{data__deaths_item__prompts_item_x}]".format(**locals()) + " must be bigger than or equal to 0", value=data__deaths_item__prompts_item_item, name="" + (name_prefix or "data") + ".deaths[{data__deaths_x}].prompts[{data__deaths_item__prompts_x}][{data__deaths_item__prompts_item_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if data__deaths_item_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".deaths[{data__deaths_x}]".format(**locals()) + " must not contain "+str(data__deaths_item_keys)+" properties", value=data__deaths_item, name="" + (name_prefix or "data") + ".deaths[{data__deaths_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'age_s', 'prompts'], 'properties': {'target': {'type': 'string'}, 'age_s': {'type': 'number', 'minimum': 0}, 'prompts': {'type': 'array', 'items': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 32}, 'maxItems': 64}}}, rule='additionalProperties')
        if "outputs" in data_keys:
            data_keys.remove("outputs")
            data__outputs = data["outputs"]
            if not isinstance(data__outputs, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".outputs must be array", value=data__outputs, name="" + (name_prefix or "data") + ".outputs", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['part', 'age_s'], 'properties': {'part': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}}}, 'maxItems': 256}, rule='type')
            data__outputs_is_list = isinstance(data__outputs, (list, tuple))
            if data__outputs_is_list:
                data__outputs_len = len(data__outputs)
                if data__outputs_len > 256:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".outputs must contain less than or equal to 256 items", value=data__outputs, name="" + (name_prefix or "data") + ".outputs", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['part', 'age_s'], 'properties': {'part': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}}}, 'maxItems': 256}, rule='maxItems')
                for data__outputs_x, data__outputs_item in enumerate(data__outputs):
                    if not isinstance(data__outputs_item, (dict)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".outputs[{data__outputs_x}]".format(**locals()) + " must be object", value=data__outputs_item, name="" + (name_prefix or "data") + ".outputs[{data__outputs_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['part', 'age_s'], 'properties': {'part': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}}}, rule='type')
                    data__outputs_item_is_dict = isinstance(data__outputs_item, dict)
                    if data__outputs_item_is_dict:
                        data__outputs_item__missing_keys = set(['part', 'age_s']) - data__outputs_item.keys()
                        if data__outputs_item__missing_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".outputs[{data__outputs_x}]".format(**locals()) + " must contain " + (str(sorted(data__outputs_item__missing_keys)) + " properties"), value=data__outputs_item, name="" + (name_prefix or "data") + ".outputs[{data__outputs_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['part', 'age_s'], 'properties': {'part': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}}}, rule='required')
                        data__outputs_item_keys = set(data__outputs_item.keys())
                        if "part" in data__outputs_item_keys:
                            data__outputs_item_keys.remove("part")
                            data__outputs_item__part = data__outputs_item["part"]
                            if not isinstance(data__outputs_item__part, (int)) and not (isinstance(data__outputs_item__part, float) and data__outputs_item__part.is_integer()) or isinstance(data__outputs_item__part, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".outputs[{data__outputs_x}].part".format(**locals()) + " must be integer", value=data__outputs_item__part, name="" + (name_prefix or "data") + ".outputs[{data__outputs_x}].part".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__outputs_item__part, (int, float, Decimal)) and not isinstance(data__outputs_item__part, bool):
                                if data__outputs_item__part < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".outputs[{data__outputs_x}].part".format(**locals()) + " must be bigger than or equal to 0", value=data__outputs_item__part, name="" + (name_prefix or "data") + ".outputs[{data__outputs_x}].part".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "age_s" in data__outputs_item_keys:
                            data__outputs_item_keys.remove("age_s")
                            data__outputs_item__ages = data__outputs_item["age_s"]
                            if not isinstance(data__outputs_item__ages, (int, float, Decimal)) or isinstance(data__outputs_item__ages, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".outputs[{data__outputs_x}].age_s".format(**locals()) + " must be number", value=data__outputs_item__ages, name="" + (name_prefix or "data") + ".outputs[{data__outputs_x}].age_s".format(**locals()) + "", definition={'type': 'number', 'minimum': 0}, rule='type')
                            if isinstance(data__outputs_item__ages, (int, float, Decimal)) and not isinstance(data__outputs_item__ages, bool):
                                if data__outputs_item__ages < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".outputs[{data__outputs_x}].age_s".format(**locals()) + " must be bigger than or equal to 0", value=data__outputs_item__ages, name="" + (name_prefix or "data") + ".outputs[{data__outputs_x}].age_s".format(**locals()) + "", definition={'type': 'number', 'minimum': 0}, rule='minimum')
                        if data__outputs_item_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".outputs[{data__outputs_x}]".format(**locals()) + " must not contain "+str(data__outputs_item_keys)+" properties", value=data__outputs_item, name="" + (name_prefix or "data") + ".outputs[{data__outputs_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['part', 'age_s'], 'properties': {'part': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}}}, rule='additionalProperties')
        if "contrast_age_s" in data_keys:
            data_keys.remove("contrast_age_s")
            data__contrastages = data["contrast_age_s"]
            if not isinstance(data__contrastages, (int, float, Decimal)) or isinstance(data__contrastages, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".contrast_age_s must be number", value=data__contrastages, name="" + (name_prefix or "data") + ".contrast_age_s", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__contrastages, (int, float, Decimal)) and not isinstance(data__contrastages, bool):
                if data__contrastages < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".contrast_age_s must be bigger than or equal to 0", value=data__contrastages, name="" + (name_prefix or "data") + ".contrast_age_s", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'deaths', 'outputs'], 'properties': {'type': {'const': 'part_evidence', 'type': 'string'}, 'deaths': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'age_s', 'prompts'], 'properties': {'target': {'type': 'string'}, 'age_s': {'type': 'number', 'minimum': 0}, 'prompts': {'type': 'array', 'items': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}, 'maxItems': 32}, 'maxItems': 64}}}, 'maxItems': 64}, 'outputs': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['part', 'age_s'], 'properties': {'part': {'type': 'integer', 'minimum': 0}, 'age_s': {'type': 'number', 'minimum': 0}}}, 'maxItems': 256}, 'contrast_age_s': {'type': 'number', 'minimum': 0}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_start(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'workspace', 'plan', 'model', 'config_version', 'prompt', 'max_tokens', 'generated', 'cost_tokens', 'worth', 'expires_in_s', 'credit_tokens', 'chain', 'alternates', 'digest', 'traceparent'], 'properties': {'type': {'const': 'start', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'workspace': {'type': 'string'}, 'plan': {'type': 'string'}, 'model': {'type': 'string'}, 'config_version': {'type': 'integer', 'minimum': 0}, 'prompt': {'type': 'string'}, 'max_tokens': {'type': 'integer', 'minimum': 0}, 'generated': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}}, 'cost_tokens': {'type': 'number', 'minimum': 0}, 'worth': {'type': 'number', 'minimum': 0}, 'expires_in_s': {'type': 'number', 'minimum': 0}, 'credit_tokens': {'type': 'integer', 'minimum': 0}, 'chain': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'minItems': 1, 'maxItems': 64}, 'alternates': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 64}, 'digest': {'type': 'integer', 'minimum': 0}, 'traceparent': {'type': 'string'}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'request', 'attempt', 'workspace', 'plan', 'model', 'config_version', 'prompt', 'max_tokens', 'generated', 'cost_tokens', 'worth', 'expires_in_s', 'credit_tokens', 'chain', 'alternates', 'digest', 'traceparent']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'workspace', 'plan', 'model', 'config_version', 'prompt', 'max_tokens', 'generated', 'cost_tokens', 'worth', 'expires_in_s', 'credit_tokens', 'chain', 'alternates', 'digest', 'traceparent'], 'properties': {'type': {'const': 'start', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'workspace': {'type': 'string'}, 'plan': {'type': 'string'}, 'model': {'type': 'string'}, 'config_version': {'type': 'integer', 'minimum': 0}, 'prompt': {'type': 'string'}, 'max_tokens': {'type': 'integer', 'minimum': 0}, 'generated': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}}, 'cost_tokens': {'type': 'number', 'minimum': 0}, 'worth': {'type': 'number', 'minimum': 0}, 'expires_in_s': {'type': 'number', 'minimum': 0}, 'credit_tokens': {'type': 'integer', 'minimum': 0}, 'chain': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'minItems': 1, 'maxItems': 64}, 'alternates': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 64}, 'digest': {'type': 'integer', 'minimum': 0}, 'traceparent': {'type': 'string'}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'start', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'start'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: start", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'start', 'type': 'string'}, rule='const')
        if "request" in data_keys:
            data_keys.remove("request")
            data__request = data["request"]
            if not isinstance(data__request, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be string", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='type')
            if isinstance(data__request, str):
                data__request_len = len(data__request)
                if data__request_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be shorter than or equal to 64 characters", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
        if "attempt" in data_keys:
            data_keys.remove("attempt")
            data__attempt = data["attempt"]
            if not isinstance(data__attempt, (int)) and not (isinstance(data__attempt, float) and data__attempt.is_integer()) or isinstance(data__attempt, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be integer", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__attempt, (int, float, Decimal)) and not isinstance(data__attempt, bool):
                if data__attempt < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be bigger than or equal to 0", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "workspace" in data_keys:
            data_keys.remove("workspace")
            data__workspace = data["workspace"]
            if not isinstance(data__workspace, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".workspace must be string", value=data__workspace, name="" + (name_prefix or "data") + ".workspace", definition={'type': 'string'}, rule='type')
        if "plan" in data_keys:
            data_keys.remove("plan")
            data__plan = data["plan"]
            if not isinstance(data__plan, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".plan must be string", value=data__plan, name="" + (name_prefix or "data") + ".plan", definition={'type': 'string'}, rule='type')
        if "model" in data_keys:
            data_keys.remove("model")
            data__model = data["model"]
            if not isinstance(data__model, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".model must be string", value=data__model, name="" + (name_prefix or "data") + ".model", definition={'type': 'string'}, rule='type')
        if "config_version" in data_keys:
            data_keys.remove("config_version")
            data__configversion = data["config_version"]
            if not isinstance(data__configversion, (int)) and not (isinstance(data__configversion, float) and data__configversion.is_integer()) or isinstance(data__configversion, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".config_version must be integer", value=data__configversion, name="" + (name_prefix or "data") + ".config_version", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__configversion, (int, float, Decimal)) and not isinstance(data__configversion, bool):
                if data__configversion < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".config_version must be bigger than or equal to 0", value=data__configversion, name="" + (name_prefix or "data") + ".config_version", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "prompt" in data_keys:
            data_keys.remove("prompt")
            data__prompt = data["prompt"]
            if not isinstance(data__prompt, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".prompt must be string", value=data__prompt, name="" + (name_prefix or "data") + ".prompt", definition={'type': 'string'}, rule='type')
        if "max_tokens" in data_keys:
            data_keys.remove("max_tokens")
            data__maxtokens = data["max_tokens"]
            if not isinstance(data__maxtokens, (int)) and not (isinstance(data__maxtokens, float) and data__maxtokens.is_integer()) or isinstance(data__maxtokens, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".max_tokens must be integer", value=data__maxtokens, name="" + (name_prefix or "data") + ".max_tokens", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__maxtokens, (int, float, Decimal)) and not isinstance(data__maxtokens, bool):
                if data__maxtokens < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".max_tokens must be bigger than or equal to 0", value=data__maxtokens, name="" + (name_prefix or "data") + ".max_tokens", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "generated" in data_keys:
            data_keys.remove("generated")
            data__generated = data["generated"]
            if not isinstance(data__generated, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".generated must be array", value=data__generated, name="" + (name_prefix or "data") + ".generated", definition={'type': 'array', 'items': {'type': 'integer', 'minimum': 0}}, rule='type')
            data__generated_is_list = isinstance(data__generated, (list, tuple))
            if data__generated_is_list:
                data__generated_len = len(data__generated)
                for data__generated_x, data__generated_item in enumerate(data__generated):
                    if not isinstance(data__generated_item, (int)) and not (isinstance(data__generated_item, float) and data__generated_item.is_integer()) or isinstance(data__generated_item, bool):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".generated[{data__generated_x}]".format(**locals()) + " must be integer", value=data__generated_item, name="" + (name_prefix or "data") + ".generated[{data__generated_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                    if isinstance(data__generated_item, (int, float, Decimal)) and not isinstance(data__generated_item, bool):
                        if data__generated_item < 0:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".generated[{data__generated_x}]".format(**locals()) + " must be bigger than or equal to 0", value=data__generated_item, name="" + (name_prefix or "data") + ".generated[{data__generated_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "cost_tokens" in data_keys:
            data_keys.remove("cost_tokens")
            data__costtokens = data["cost_tokens"]
            if not isinstance(data__costtokens, (int, float, Decimal)) or isinstance(data__costtokens, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".cost_tokens must be number", value=data__costtokens, name="" + (name_prefix or "data") + ".cost_tokens", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__costtokens, (int, float, Decimal)) and not isinstance(data__costtokens, bool):
                if data__costtokens < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".cost_tokens must be bigger than or equal to 0", value=data__costtokens, name="" + (name_prefix or "data") + ".cost_tokens", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if "worth" in data_keys:
            data_keys.remove("worth")
            data__worth = data["worth"]
            if not isinstance(data__worth, (int, float, Decimal)) or isinstance(data__worth, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".worth must be number", value=data__worth, name="" + (name_prefix or "data") + ".worth", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__worth, (int, float, Decimal)) and not isinstance(data__worth, bool):
                if data__worth < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".worth must be bigger than or equal to 0", value=data__worth, name="" + (name_prefix or "data") + ".worth", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if "expires_in_s" in data_keys:
            data_keys.remove("expires_in_s")
            data__expiresins = data["expires_in_s"]
            if not isinstance(data__expiresins, (int, float, Decimal)) or isinstance(data__expiresins, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".expires_in_s must be number", value=data__expiresins, name="" + (name_prefix or "data") + ".expires_in_s", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__expiresins, (int, float, Decimal)) and not isinstance(data__expiresins, bool):
                if data__expiresins < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".expires_in_s must be bigger than or equal to 0", value=data__expiresins, name="" + (name_prefix or "data") + ".expires_in_s", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if "credit_tokens" in data_keys:
            data_keys.remove("credit_tokens")
            data__credittokens = data["credit_tokens"]
            if not isinstance(data__credittokens, (int)) and not (isinstance(data__credittokens, float) and data__credittokens.is_integer()) or isinstance(data__credittokens, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".credit_tokens must be integer", value=data__credittokens, name="" + (name_prefix or "data") + ".credit_tokens", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__credittokens, (int, float, Decimal)) and not isinstance(data__credittokens, bool):
                if data__credittokens < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".credit_tokens must be bigger than or equal to 0", value=data__credittokens, name="" + (name_prefix or "data") + ".credit_tokens", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "chain" in data_keys:
            data_keys.remove("chain")
            data__chain = data["chain"]
            if not isinstance(data__chain, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain must be array", value=data__chain, name="" + (name_prefix or "data") + ".chain", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'minItems': 1, 'maxItems': 64}, rule='type')
            data__chain_is_list = isinstance(data__chain, (list, tuple))
            if data__chain_is_list:
                data__chain_len = len(data__chain)
                if data__chain_len < 1:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain must contain at least 1 items", value=data__chain, name="" + (name_prefix or "data") + ".chain", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'minItems': 1, 'maxItems': 64}, rule='minItems')
                if data__chain_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain must contain less than or equal to 64 items", value=data__chain, name="" + (name_prefix or "data") + ".chain", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'minItems': 1, 'maxItems': 64}, rule='maxItems')
                for data__chain_x, data__chain_item in enumerate(data__chain):
                    if not isinstance(data__chain_item, (dict)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}]".format(**locals()) + " must be object", value=data__chain_item, name="" + (name_prefix or "data") + ".chain[{data__chain_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, rule='type')
                    data__chain_item_is_dict = isinstance(data__chain_item, dict)
                    if data__chain_item_is_dict:
                        data__chain_item__missing_keys = set(['target', 'host', 'port', 'first_layer', 'end_layer']) - data__chain_item.keys()
                        if data__chain_item__missing_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}]".format(**locals()) + " must contain " + (str(sorted(data__chain_item__missing_keys)) + " properties"), value=data__chain_item, name="" + (name_prefix or "data") + ".chain[{data__chain_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, rule='required')
                        data__chain_item_keys = set(data__chain_item.keys())
                        if "target" in data__chain_item_keys:
                            data__chain_item_keys.remove("target")
                            data__chain_item__target = data__chain_item["target"]
                            if not isinstance(data__chain_item__target, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].target".format(**locals()) + " must be string", value=data__chain_item__target, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].target".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "host" in data__chain_item_keys:
                            data__chain_item_keys.remove("host")
                            data__chain_item__host = data__chain_item["host"]
                            if not isinstance(data__chain_item__host, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].host".format(**locals()) + " must be string", value=data__chain_item__host, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].host".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "port" in data__chain_item_keys:
                            data__chain_item_keys.remove("port")
                            data__chain_item__port = data__chain_item["port"]
                            if not isinstance(data__chain_item__port, (int)) and not (isinstance(data__chain_item__port, float) and data__chain_item__port.is_integer()) or isinstance(data__chain_item__port, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].port".format(**locals()) + " must be integer", value=data__chain_item__port, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].port".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__chain_item__port, (int, float, Decimal)) and not isinstance(data__chain_item__port, bool):
                                if data__chain_item__port < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].port".format(**locals()) + " must be bigger than or equal to 0", value=data__chain_item__port, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].port".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "first_layer" in data__chain_item_keys:
                            data__chain_item_keys.remove("first_layer")
                            data__chain_item__firstlayer = data__chain_item["first_layer"]
                            if not isinstance(data__chain_item__firstlayer, (int)) and not (isinstance(data__chain_item__firstlayer, float) and data__chain_item__firstlayer.is_integer()) or isinstance(data__chain_item__firstlayer, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].first_layer".format(**locals()) + " must be integer", value=data__chain_item__firstlayer, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].first_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__chain_item__firstlayer, (int, float, Decimal)) and not isinstance(data__chain_item__firstlayer, bool):
                                if data__chain_item__firstlayer < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].first_layer".format(**locals()) + " must be bigger than or equal to 0", value=data__chain_item__firstlayer, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].first_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "end_layer" in data__chain_item_keys:
                            data__chain_item_keys.remove("end_layer")
                            data__chain_item__endlayer = data__chain_item["end_layer"]
                            if not isinstance(data__chain_item__endlayer, (int)) and not (isinstance(data__chain_item__endlayer, float) and data__chain_item__endlayer.is_integer()) or isinstance(data__chain_item__endlayer, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].end_layer".format(**locals()) + " must be integer", value=data__chain_item__endlayer, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].end_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__chain_item__endlayer, (int, float, Decimal)) and not isinstance(data__chain_item__endlayer, bool):
                                if data__chain_item__endlayer < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].end_layer".format(**locals()) + " must be bigger than or equal to 0", value=data__chain_item__endlayer, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].end_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if data__chain_item_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}]".format(**locals()) + " must not contain "+str(data__chain_item_keys)+" properties", value=data__chain_item, name="" + (name_prefix or "data") + ".chain[{data__chain_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, rule='additionalProperties')
        if "alternates" in data_keys:
            data_keys.remove("alternates")
            data__alternates = data["alternates"]
            if not isinstance(data__alternates, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates must be array", value=data__alternates, name="" + (name_prefix or "data") + ".alternates", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 64}, rule='type')
            data__alternates_is_list = isinstance(data__alternates, (list, tuple))
            if data__alternates_is_list:
                data__alternates_len = len(data__alternates)
                if data__alternates_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates must contain less than or equal to 64 items", value=data__alternates, name="" + (name_prefix or "data") + ".alternates", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 64}, rule='maxItems')
                for data__alternates_x, data__alternates_item in enumerate(data__alternates):
                    if not isinstance(data__alternates_item, (dict)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}]".format(**locals()) + " must be object", value=data__alternates_item, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, rule='type')
                    data__alternates_item_is_dict = isinstance(data__alternates_item, dict)
                    if data__alternates_item_is_dict:
                        data__alternates_item__missing_keys = set(['target', 'host', 'port', 'first_layer', 'end_layer']) - data__alternates_item.keys()
                        if data__alternates_item__missing_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}]".format(**locals()) + " must contain " + (str(sorted(data__alternates_item__missing_keys)) + " properties"), value=data__alternates_item, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, rule='required')
                        data__alternates_item_keys = set(data__alternates_item.keys())
                        if "target" in data__alternates_item_keys:
                            data__alternates_item_keys.remove("target")
                            data__alternates_item__target = data__alternates_item["target"]
                            if not isinstance(data__alternates_item__target, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].target".format(**locals()) + " must be string", value=data__alternates_item__target, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].target".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "host" in data__alternates_item_keys:
                            data__alternates_item_keys.remove("host")
                            data__alternates_item__host = data__alternates_item["host"]
                            if not isinstance(data__alternates_item__host, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].host".format(**locals()) + " must be string", value=data__alternates_item__host, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].host".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "port" in data__alternates_item_keys:
                            data__alternates_item_keys.remove("port")
                            data__alternates_item__port = data__alternates_item["port"]
                            if not isinstance(data__alternates_item__port, (int)) and not (isinstance(data__alternates_item__port, float) and data__alternates_item__port.is_integer()) or isinstance(data__alternates_item__port, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].port".format(**locals()) + " must be integer", value=data__alternates_item__port, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].port".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__alternates_item__port, (int, float, Decimal)) and not isinstance(data__alternates_item__port, bool):
                                if data__alternates_item__port < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].port".format(**locals()) + " must be bigger than or equal to 0", value=data__alternates_item__port, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].port".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "first_layer" in data__alternates_item_keys:
                            data__alternates_item_keys.remove("first_layer")
                            data__alternates_item__firstlayer = data__alternates_item["first_layer"]
                            if not isinstance(data__alternates_item__firstlayer, (int)) and not (isinstance(data__alternates_item__firstlayer, float) and data__alternates_item__firstlayer.is_integer()) or isinstance(data__alternates_item__firstlayer, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].first_layer".format(**locals()) + " must be integer", value=data__alternates_item__firstlayer, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].first_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__alternates_item__firstlayer, (int, float, Decimal)) and not isinstance(data__alternates_item__firstlayer, bool):
                                if data__alternates_item__firstlayer < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].first_layer".format(**locals()) + " must be bigger than or equal to 0", value=data__alternates_item__firstlayer, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].first_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "end_layer" in data__alternates_item_keys:
                            data__alternates_item_keys.remove("end_layer")
                            data__alternates_item__endlayer = data__alternates_item["end_layer"]
                            if not isinstance(data__alternates_item__endlayer, (int)) and not (isinstance(data__alternates_item__endlayer, float) and data__alternates_item__endlayer.is_integer()) or isinstance(data__alternates_item__endlayer, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].end_layer".format(**locals()) + " must be integer", value=data__alternates_item__endlayer, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].end_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__alternates_item__endlayer, (int, float, Decimal)) and not isinstance(data__alternates_item__endlayer, bool):
                                if data__alternates_item__endlayer < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].end_layer".format(**locals()) + " must be bigger than or equal to 0", value=data__alternates_item__endlayer, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].end_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if data__alternates_item_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}]".format(**locals()) + " must not contain "+str(data__alternates_item_keys)+" properties", value=data__alternates_item, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, rule='additionalProperties')
        if "digest" in data_keys:
            data_keys.remove("digest")
            data__digest = data["digest"]
            if not isinstance(data__digest, (int)) and not (isinstance(data__digest, float) and data__digest.is_integer()) or isinstance(data__digest, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".digest must be integer", value=data__digest, name="" + (name_prefix or "data") + ".digest", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__digest, (int, float, Decimal)) and not isinstance(data__digest, bool):
                if data__digest < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".digest must be bigger than or equal to 0", value=data__digest, name="" + (name_prefix or "data") + ".digest", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "traceparent" in data_keys:
            data_keys.remove("traceparent")
            data__traceparent = data["traceparent"]
            if not isinstance(data__traceparent, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".traceparent must be string", value=data__traceparent, name="" + (name_prefix or "data") + ".traceparent", definition={'type': 'string'}, rule='type')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'workspace', 'plan', 'model', 'config_version', 'prompt', 'max_tokens', 'generated', 'cost_tokens', 'worth', 'expires_in_s', 'credit_tokens', 'chain', 'alternates', 'digest', 'traceparent'], 'properties': {'type': {'const': 'start', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'workspace': {'type': 'string'}, 'plan': {'type': 'string'}, 'model': {'type': 'string'}, 'config_version': {'type': 'integer', 'minimum': 0}, 'prompt': {'type': 'string'}, 'max_tokens': {'type': 'integer', 'minimum': 0}, 'generated': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}}, 'cost_tokens': {'type': 'number', 'minimum': 0}, 'worth': {'type': 'number', 'minimum': 0}, 'expires_in_s': {'type': 'number', 'minimum': 0}, 'credit_tokens': {'type': 'integer', 'minimum': 0}, 'chain': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'minItems': 1, 'maxItems': 64}, 'alternates': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 64}, 'digest': {'type': 'integer', 'minimum': 0}, 'traceparent': {'type': 'string'}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_started(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt'], 'properties': {'type': {'const': 'started', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'request', 'attempt']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt'], 'properties': {'type': {'const': 'started', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'started', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'started'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: started", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'started', 'type': 'string'}, rule='const')
        if "request" in data_keys:
            data_keys.remove("request")
            data__request = data["request"]
            if not isinstance(data__request, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be string", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='type')
            if isinstance(data__request, str):
                data__request_len = len(data__request)
                if data__request_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be shorter than or equal to 64 characters", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
        if "attempt" in data_keys:
            data_keys.remove("attempt")
            data__attempt = data["attempt"]
            if not isinstance(data__attempt, (int)) and not (isinstance(data__attempt, float) and data__attempt.is_integer()) or isinstance(data__attempt, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be integer", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__attempt, (int, float, Decimal)) and not isinstance(data__attempt, bool):
                if data__attempt < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be bigger than or equal to 0", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt'], 'properties': {'type': {'const': 'started', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_refused(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'reason', 'retry_after_s', 'target', 'config_version'], 'properties': {'type': {'const': 'refused', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'reason': {'type': 'string'}, 'retry_after_s': {'type': 'number', 'minimum': 0}, 'target': {'type': 'string'}, 'config_version': {'type': 'integer', 'minimum': 0}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'request', 'attempt', 'reason', 'retry_after_s', 'target', 'config_version']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'reason', 'retry_after_s', 'target', 'config_version'], 'properties': {'type': {'const': 'refused', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'reason': {'type': 'string'}, 'retry_after_s': {'type': 'number', 'minimum': 0}, 'target': {'type': 'string'}, 'config_version': {'type': 'integer', 'minimum': 0}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'refused', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'refused'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: refused", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'refused', 'type': 'string'}, rule='const')
        if "request" in data_keys:
            data_keys.remove("request")
            data__request = data["request"]
            if not isinstance(data__request, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be string", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='type')
            if isinstance(data__request, str):
                data__request_len = len(data__request)
                if data__request_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be shorter than or equal to 64 characters", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
        if "attempt" in data_keys:
            data_keys.remove("attempt")
            data__attempt = data["attempt"]
            if not isinstance(data__attempt, (int)) and not (isinstance(data__attempt, float) and data__attempt.is_integer()) or isinstance(data__attempt, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be integer", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__attempt, (int, float, Decimal)) and not isinstance(data__attempt, bool):
                if data__attempt < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be bigger than or equal to 0", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "reason" in data_keys:
            data_keys.remove("reason")
            data__reason = data["reason"]
            if not isinstance(data__reason, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".reason must be string", value=data__reason, name="" + (name_prefix or "data") + ".reason", definition={'type': 'string'}, rule='type')
        if "retry_after_s" in data_keys:
            data_keys.remove("retry_after_s")
            data__retryafters = data["retry_after_s"]
            if not isinstance(data__retryafters, (int, float, Decimal)) or isinstance(data__retryafters, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".retry_after_s must be number", value=data__retryafters, name="" + (name_prefix or "data") + ".retry_after_s", definition={'type': 'number', 'minimum': 0}, rule='type')
            if isinstance(data__retryafters, (int, float, Decimal)) and not isinstance(data__retryafters, bool):
                if data__retryafters < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".retry_after_s must be bigger than or equal to 0", value=data__retryafters, name="" + (name_prefix or "data") + ".retry_after_s", definition={'type': 'number', 'minimum': 0}, rule='minimum')
        if "target" in data_keys:
            data_keys.remove("target")
            data__target = data["target"]
            if not isinstance(data__target, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".target must be string", value=data__target, name="" + (name_prefix or "data") + ".target", definition={'type': 'string'}, rule='type')
        if "config_version" in data_keys:
            data_keys.remove("config_version")
            data__configversion = data["config_version"]
            if not isinstance(data__configversion, (int)) and not (isinstance(data__configversion, float) and data__configversion.is_integer()) or isinstance(data__configversion, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".config_version must be integer", value=data__configversion, name="" + (name_prefix or "data") + ".config_version", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__configversion, (int, float, Decimal)) and not isinstance(data__configversion, bool):
                if data__configversion < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".config_version must be bigger than or equal to 0", value=data__configversion, name="" + (name_prefix or "data") + ".config_version", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'reason', 'retry_after_s', 'target', 'config_version'], 'properties': {'type': {'const': 'refused', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'reason': {'type': 'string'}, 'retry_after_s': {'type': 'number', 'minimum': 0}, 'target': {'type': 'string'}, 'config_version': {'type': 'integer', 'minimum': 0}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_tokens(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'runs'], 'properties': {'type': {'const': 'tokens', 'type': 'string'}, 'runs': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'first_index', 'tokens'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'first_index': {'type': 'integer', 'minimum': 0}, 'tokens': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}}}}}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'runs']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'runs'], 'properties': {'type': {'const': 'tokens', 'type': 'string'}, 'runs': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'first_index', 'tokens'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'first_index': {'type': 'integer', 'minimum': 0}, 'tokens': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}}}}}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'tokens', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'tokens'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: tokens", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'tokens', 'type': 'string'}, rule='const')
        if "runs" in data_keys:
            data_keys.remove("runs")
            data__runs = data["runs"]
            if not isinstance(data__runs, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".runs must be array", value=data__runs, name="" + (name_prefix or "data") + ".runs", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'first_index', 'tokens'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'first_index': {'type': 'integer', 'minimum': 0}, 'tokens': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}}}}}, rule='type')
            data__runs_is_list = isinstance(data__runs, (list, tuple))
            if data__runs_is_list:
                data__runs_len = len(data__runs)
                for data__runs_x, data__runs_item in enumerate(data__runs):
                    if not isinstance(data__runs_item, (dict)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".runs[{data__runs_x}]".format(**locals()) + " must be object", value=data__runs_item, name="" + (name_prefix or "data") + ".runs[{data__runs_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'first_index', 'tokens'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'first_index': {'type': 'integer', 'minimum': 0}, 'tokens': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}}}}, rule='type')
                    data__runs_item_is_dict = isinstance(data__runs_item, dict)
                    if data__runs_item_is_dict:
                        data__runs_item__missing_keys = set(['request', 'attempt', 'first_index', 'tokens']) - data__runs_item.keys()
                        if data__runs_item__missing_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".runs[{data__runs_x}]".format(**locals()) + " must contain " + (str(sorted(data__runs_item__missing_keys)) + " properties"), value=data__runs_item, name="" + (name_prefix or "data") + ".runs[{data__runs_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'first_index', 'tokens'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'first_index': {'type': 'integer', 'minimum': 0}, 'tokens': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}}}}, rule='required')
                        data__runs_item_keys = set(data__runs_item.keys())
                        if "request" in data__runs_item_keys:
                            data__runs_item_keys.remove("request")
                            data__runs_item__request = data__runs_item["request"]
                            if not isinstance(data__runs_item__request, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".runs[{data__runs_x}].request".format(**locals()) + " must be string", value=data__runs_item__request, name="" + (name_prefix or "data") + ".runs[{data__runs_x}].request".format(**locals()) + "", definition={'type': 'string', 'maxLength': 64}, rule='type')
                            if isinstance(data__runs_item__request, str):
                                data__runs_item__request_len = len(data__runs_item__request)
                                if data__runs_item__request_len > 64:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".runs[{data__runs_x}].request".format(**locals()) + " must be shorter than or equal to 64 characters", value=data__runs_item__request, name="" + (name_prefix or "data") + ".runs[{data__runs_x}].request".format(**locals()) + "", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
                        if "attempt" in data__runs_item_keys:
                            data__runs_item_keys.remove("attempt")
                            data__runs_item__attempt = data__runs_item["attempt"]
                            if not isinstance(data__runs_item__attempt, (int)) and not (isinstance(data__runs_item__attempt, float) and data__runs_item__attempt.is_integer()) or isinstance(data__runs_item__attempt, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".runs[{data__runs_x}].attempt".format(**locals()) + " must be integer", value=data__runs_item__attempt, name="" + (name_prefix or "data") + ".runs[{data__runs_x}].attempt".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__runs_item__attempt, (int, float, Decimal)) and not isinstance(data__runs_item__attempt, bool):
                                if data__runs_item__attempt < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".runs[{data__runs_x}].attempt".format(**locals()) + " must be bigger than or equal to 0", value=data__runs_item__attempt, name="" + (name_prefix or "data") + ".runs[{data__runs_x}].attempt".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "first_index" in data__runs_item_keys:
                            data__runs_item_keys.remove("first_index")
                            data__runs_item__firstindex = data__runs_item["first_index"]
                            if not isinstance(data__runs_item__firstindex, (int)) and not (isinstance(data__runs_item__firstindex, float) and data__runs_item__firstindex.is_integer()) or isinstance(data__runs_item__firstindex, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".runs[{data__runs_x}].first_index".format(**locals()) + " must be integer", value=data__runs_item__firstindex, name="" + (name_prefix or "data") + ".runs[{data__runs_x}].first_index".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__runs_item__firstindex, (int, float, Decimal)) and not isinstance(data__runs_item__firstindex, bool):
                                if data__runs_item__firstindex < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".runs[{data__runs_x}].first_index".format(**locals()) + " must be bigger than or equal to 0", value=data__runs_item__firstindex, name="" + (name_prefix or "data") + ".runs[{data__runs_x}].first_index".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "tokens" in data__runs_item_keys:
                            data__runs_item_keys.remove("tokens")
                            data__runs_item__tokens = data__runs_item["tokens"]
                            if not isinstance(data__runs_item__tokens, (list, tuple)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".runs[{data__runs_x}].tokens".format(**locals()) + " must be array", value=data__runs_item__tokens, name="" + (name_prefix or "data") + ".runs[{data__runs_x}].tokens".format(**locals()) + "", definition={'type': 'array', 'items': {'type': 'integer', 'minimum': 0}}, rule='type')
                            data__runs_item__tokens_is_list = isinstance(data__runs_item__tokens, (list, tuple))
                            if data__runs_item__tokens_is_list:
                                data__runs_item__tokens_len = len(data__runs_item__tokens)
                                for data__runs_item__tokens_x, data__runs_item__tokens_item in enumerate(data__runs_item__tokens):
                                    if not isinstance(data__runs_item__tokens_item, (int)) and not (isinstance(data__runs_item__tokens_item, float) and data__runs_item__tokens_item.is_integer()) or isinstance(data__runs_item__tokens_item, bool):
                                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".runs[{data__runs_x}].tokens[{data__runs_item__tokens_x}]".format(**locals()) + " must be integer", value=data__runs_item__tokens_item, name="" + (name_prefix or "data") + ".runs[{data__runs_x}].tokens[{data__runs_item__tokens_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                                    if isinstance(data__runs_item__tokens_item, (int, float, Decimal)) and not isinstance(data__runs_item__tokens_item, bool):
                                        if data__runs_item__tokens_item < 0:
                                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".runs[{data__runs_x}].tokens[{data__runs_item__tokens_x}]".format(**locals()) + " must be bigger than or equal to 0", value=data__runs_item__tokens_item, name="" + (name_prefix or "data") + ".runs[{data__runs_x}].tokens[{data__runs_item__tokens_x}]".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if data__runs_item_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".runs[{data__runs_x}]".format(**locals()) + " must not contain "+str(data__runs_item_keys)+" properties", value=data__runs_item, name="" + (name_prefix or "data") + ".runs[{data__runs_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'first_index', 'tokens'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'first_index': {'type': 'integer', 'minimum': 0}, 'tokens': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}}}}, rule='additionalProperties')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'runs'], 'properties': {'type': {'const': 'tokens', 'type': 'string'}, 'runs': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['request', 'attempt', 'first_index', 'tokens'], 'properties': {'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'first_index': {'type': 'integer', 'minimum': 0}, 'tokens': {'type': 'array', 'items': {'type': 'integer', 'minimum': 0}}}}}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_credit(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'tokens'], 'properties': {'type': {'const': 'credit', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'tokens': {'type': 'integer', 'minimum': 0}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'request', 'attempt', 'tokens']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'tokens'], 'properties': {'type': {'const': 'credit', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'tokens': {'type': 'integer', 'minimum': 0}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'credit', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'credit'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: credit", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'credit', 'type': 'string'}, rule='const')
        if "request" in data_keys:
            data_keys.remove("request")
            data__request = data["request"]
            if not isinstance(data__request, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be string", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='type')
            if isinstance(data__request, str):
                data__request_len = len(data__request)
                if data__request_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be shorter than or equal to 64 characters", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
        if "attempt" in data_keys:
            data_keys.remove("attempt")
            data__attempt = data["attempt"]
            if not isinstance(data__attempt, (int)) and not (isinstance(data__attempt, float) and data__attempt.is_integer()) or isinstance(data__attempt, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be integer", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__attempt, (int, float, Decimal)) and not isinstance(data__attempt, bool):
                if data__attempt < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be bigger than or equal to 0", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "tokens" in data_keys:
            data_keys.remove("tokens")
            data__tokens = data["tokens"]
            if not isinstance(data__tokens, (int)) and not (isinstance(data__tokens, float) and data__tokens.is_integer()) or isinstance(data__tokens, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".tokens must be integer", value=data__tokens, name="" + (name_prefix or "data") + ".tokens", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__tokens, (int, float, Decimal)) and not isinstance(data__tokens, bool):
                if data__tokens < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".tokens must be bigger than or equal to 0", value=data__tokens, name="" + (name_prefix or "data") + ".tokens", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'tokens'], 'properties': {'type': {'const': 'credit', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'tokens': {'type': 'integer', 'minimum': 0}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_finished(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'token_count', 'prompt_token_count', 'reason'], 'properties': {'type': {'const': 'finished', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'token_count': {'type': 'integer', 'minimum': 0}, 'prompt_token_count': {'type': 'integer', 'minimum': 0}, 'reason': {'type': 'string', 'enum': ['stop', 'length']}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'request', 'attempt', 'token_count', 'prompt_token_count', 'reason']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'token_count', 'prompt_token_count', 'reason'], 'properties': {'type': {'const': 'finished', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'token_count': {'type': 'integer', 'minimum': 0}, 'prompt_token_count': {'type': 'integer', 'minimum': 0}, 'reason': {'type': 'string', 'enum': ['stop', 'length']}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'finished', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'finished'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: finished", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'finished', 'type': 'string'}, rule='const')
        if "request" in data_keys:
            data_keys.remove("request")
            data__request = data["request"]
            if not isinstance(data__request, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be string", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='type')
            if isinstance(data__request, str):
                data__request_len = len(data__request)
                if data__request_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be shorter than or equal to 64 characters", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
        if "attempt" in data_keys:
            data_keys.remove("attempt")
            data__attempt = data["attempt"]
            if not isinstance(data__attempt, (int)) and not (isinstance(data__attempt, float) and data__attempt.is_integer()) or isinstance(data__attempt, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be integer", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__attempt, (int, float, Decimal)) and not isinstance(data__attempt, bool):
                if data__attempt < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be bigger than or equal to 0", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "token_count" in data_keys:
            data_keys.remove("token_count")
            data__tokencount = data["token_count"]
            if not isinstance(data__tokencount, (int)) and not (isinstance(data__tokencount, float) and data__tokencount.is_integer()) or isinstance(data__tokencount, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".token_count must be integer", value=data__tokencount, name="" + (name_prefix or "data") + ".token_count", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__tokencount, (int, float, Decimal)) and not isinstance(data__tokencount, bool):
                if data__tokencount < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".token_count must be bigger than or equal to 0", value=data__tokencount, name="" + (name_prefix or "data") + ".token_count", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "prompt_token_count" in data_keys:
            data_keys.remove("prompt_token_count")
            data__prompttokencount = data["prompt_token_count"]
            if not isinstance(data__prompttokencount, (int)) and not (isinstance(data__prompttokencount, float) and data__prompttokencount.is_integer()) or isinstance(data__prompttokencount, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".prompt_token_count must be integer", value=data__prompttokencount, name="" + (name_prefix or "data") + ".prompt_token_count", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__prompttokencount, (int, float, Decimal)) and not isinstance(data__prompttokencount, bool):
                if data__prompttokencount < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".prompt_token_count must be bigger than or equal to 0", value=data__prompttokencount, name="" + (name_prefix or "data") + ".prompt_token_count", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "reason" in data_keys:
            data_keys.remove("reason")
            data__reason = data["reason"]
            if not isinstance(data__reason, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".reason must be string", value=data__reason, name="" + (name_prefix or "data") + ".reason", definition={'type': 'string', 'enum': ['stop', 'length']}, rule='type')
            if not (isinstance(data__reason, str) and data__reason == 'stop' or isinstance(data__reason, str) and data__reason == 'length'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".reason must be one of ['stop', 'length']", value=data__reason, name="" + (name_prefix or "data") + ".reason", definition={'type': 'string', 'enum': ['stop', 'length']}, rule='enum')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'token_count', 'prompt_token_count', 'reason'], 'properties': {'type': {'const': 'finished', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'token_count': {'type': 'integer', 'minimum': 0}, 'prompt_token_count': {'type': 'integer', 'minimum': 0}, 'reason': {'type': 'string', 'enum': ['stop', 'length']}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_failed(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'reason', 'ran', 'token_count', 'dead_targets'], 'properties': {'type': {'const': 'failed', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'reason': {'type': 'string'}, 'ran': {'type': 'string', 'enum': ['no', 'yes', 'unknown']}, 'token_count': {'type': 'integer', 'minimum': 0}, 'dead_targets': {'type': 'array', 'items': {'type': 'string'}}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'request', 'attempt', 'reason', 'ran', 'token_count', 'dead_targets']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'reason', 'ran', 'token_count', 'dead_targets'], 'properties': {'type': {'const': 'failed', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'reason': {'type': 'string'}, 'ran': {'type': 'string', 'enum': ['no', 'yes', 'unknown']}, 'token_count': {'type': 'integer', 'minimum': 0}, 'dead_targets': {'type': 'array', 'items': {'type': 'string'}}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'failed', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'failed'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: failed", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'failed', 'type': 'string'}, rule='const')
        if "request" in data_keys:
            data_keys.remove("request")
            data__request = data["request"]
            if not isinstance(data__request, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be string", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='type')
            if isinstance(data__request, str):
                data__request_len = len(data__request)
                if data__request_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be shorter than or equal to 64 characters", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
        if "attempt" in data_keys:
            data_keys.remove("attempt")
            data__attempt = data["attempt"]
            if not isinstance(data__attempt, (int)) and not (isinstance(data__attempt, float) and data__attempt.is_integer()) or isinstance(data__attempt, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be integer", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__attempt, (int, float, Decimal)) and not isinstance(data__attempt, bool):
                if data__attempt < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be bigger than or equal to 0", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "reason" in data_keys:
            data_keys.remove("reason")
            data__reason = data["reason"]
            if not isinstance(data__reason, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".reason must be string", value=data__reason, name="" + (name_prefix or "data") + ".reason", definition={'type': 'string'}, rule='type')
        if "ran" in data_keys:
            data_keys.remove("ran")
            data__ran = data["ran"]
            if not isinstance(data__ran, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".ran must be string", value=data__ran, name="" + (name_prefix or "data") + ".ran", definition={'type': 'string', 'enum': ['no', 'yes', 'unknown']}, rule='type')
            if not (isinstance(data__ran, str) and data__ran == 'no' or isinstance(data__ran, str) and data__ran == 'yes' or isinstance(data__ran, str) and data__ran == 'unknown'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".ran must be one of ['no', 'yes', 'unknown']", value=data__ran, name="" + (name_prefix or "data") + ".ran", definition={'type': 'string', 'enum': ['no', 'yes', 'unknown']}, rule='enum')
        if "token_count" in data_keys:
            data_keys.remove("token_count")
            data__tokencount = data["token_count"]
            if not isinstance(data__tokencount, (int)) and not (isinstance(data__tokencount, float) and data__tokencount.is_integer()) or isinstance(data__tokencount, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".token_count must be integer", value=data__tokencount, name="" + (name_prefix or "data") + ".token_count", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__tokencount, (int, float, Decimal)) and not isinstance(data__tokencount, bool):
                if data__tokencount < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".token_count must be bigger than or equal to 0", value=data__tokencount, name="" + (name_prefix or "data") + ".token_count", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "dead_targets" in data_keys:
            data_keys.remove("dead_targets")
            data__deadtargets = data["dead_targets"]
            if not isinstance(data__deadtargets, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".dead_targets must be array", value=data__deadtargets, name="" + (name_prefix or "data") + ".dead_targets", definition={'type': 'array', 'items': {'type': 'string'}}, rule='type')
            data__deadtargets_is_list = isinstance(data__deadtargets, (list, tuple))
            if data__deadtargets_is_list:
                data__deadtargets_len = len(data__deadtargets)
                for data__deadtargets_x, data__deadtargets_item in enumerate(data__deadtargets):
                    if not isinstance(data__deadtargets_item, (str)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".dead_targets[{data__deadtargets_x}]".format(**locals()) + " must be string", value=data__deadtargets_item, name="" + (name_prefix or "data") + ".dead_targets[{data__deadtargets_x}]".format(**locals()) + "", definition={'type': 'string'}, rule='type')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'reason', 'ran', 'token_count', 'dead_targets'], 'properties': {'type': {'const': 'failed', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'reason': {'type': 'string'}, 'ran': {'type': 'string', 'enum': ['no', 'yes', 'unknown']}, 'token_count': {'type': 'integer', 'minimum': 0}, 'dead_targets': {'type': 'array', 'items': {'type': 'string'}}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_cancel(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt'], 'properties': {'type': {'const': 'cancel', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'request', 'attempt']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt'], 'properties': {'type': {'const': 'cancel', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'cancel', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'cancel'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: cancel", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'cancel', 'type': 'string'}, rule='const')
        if "request" in data_keys:
            data_keys.remove("request")
            data__request = data["request"]
            if not isinstance(data__request, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be string", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='type')
            if isinstance(data__request, str):
                data__request_len = len(data__request)
                if data__request_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be shorter than or equal to 64 characters", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
        if "attempt" in data_keys:
            data_keys.remove("attempt")
            data__attempt = data["attempt"]
            if not isinstance(data__attempt, (int)) and not (isinstance(data__attempt, float) and data__attempt.is_integer()) or isinstance(data__attempt, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be integer", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__attempt, (int, float, Decimal)) and not isinstance(data__attempt, bool):
                if data__attempt < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be bigger than or equal to 0", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if data_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must not contain "+str(data_keys)+" properties", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt'], 'properties': {'type': {'const': 'cancel', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}}}, rule='additionalProperties')
    return data
from decimal import Decimal
from fastjsonschema import JsonSchemaValueException, JsonSchemaValuesException


NoneType = type(None)

def check_open(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise JsonSchemaValueException("" + (name_prefix or "data") + " must be object", value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'stage_index', 'chain', 'alternates', 'config_version', 'priority', 'expires_in_s', 'rebuild_inputs', 'rebuild_kv', 'first_token', 'digest', 'traceparent'], 'properties': {'type': {'const': 'open', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'chain': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'minItems': 1, 'maxItems': 64}, 'alternates': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 64}, 'config_version': {'type': 'integer', 'minimum': 0}, 'priority': {'type': 'integer', 'minimum': 0}, 'expires_in_s': {'type': 'number', 'minimum': 0}, 'rebuild_inputs': {'type': 'array', 'items': {}}, 'rebuild_kv': {}, 'first_token': {'type': 'integer', 'minimum': 0}, 'digest': {'type': 'integer', 'minimum': 0}, 'traceparent': {'type': 'string'}}}, rule='type')
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(['type', 'request', 'attempt', 'stage_index', 'chain', 'alternates', 'config_version', 'priority', 'expires_in_s', 'rebuild_inputs', 'rebuild_kv', 'first_token', 'digest', 'traceparent']) - data.keys()
        if data__missing_keys:
            raise JsonSchemaValueException("" + (name_prefix or "data") + " must contain " + (str(sorted(data__missing_keys)) + " properties"), value=data, name="" + (name_prefix or "data") + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['type', 'request', 'attempt', 'stage_index', 'chain', 'alternates', 'config_version', 'priority', 'expires_in_s', 'rebuild_inputs', 'rebuild_kv', 'first_token', 'digest', 'traceparent'], 'properties': {'type': {'const': 'open', 'type': 'string'}, 'request': {'type': 'string', 'maxLength': 64}, 'attempt': {'type': 'integer', 'minimum': 0}, 'stage_index': {'type': 'integer', 'minimum': 0}, 'chain': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'minItems': 1, 'maxItems': 64}, 'alternates': {'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 64}, 'config_version': {'type': 'integer', 'minimum': 0}, 'priority': {'type': 'integer', 'minimum': 0}, 'expires_in_s': {'type': 'number', 'minimum': 0}, 'rebuild_inputs': {'type': 'array', 'items': {}}, 'rebuild_kv': {}, 'first_token': {'type': 'integer', 'minimum': 0}, 'digest': {'type': 'integer', 'minimum': 0}, 'traceparent': {'type': 'string'}}}, rule='required')
        data_keys = set(data.keys())
        if "type" in data_keys:
            data_keys.remove("type")
            data__type = data["type"]
            if not isinstance(data__type, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be string", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'open', 'type': 'string'}, rule='type')
            if not (isinstance(data__type, str) and data__type == 'open'):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".type must be same as const definition: open", value=data__type, name="" + (name_prefix or "data") + ".type", definition={'const': 'open', 'type': 'string'}, rule='const')
        if "request" in data_keys:
            data_keys.remove("request")
            data__request = data["request"]
            if not isinstance(data__request, (str)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be string", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='type')
            if isinstance(data__request, str):
                data__request_len = len(data__request)
                if data__request_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".request must be shorter than or equal to 64 characters", value=data__request, name="" + (name_prefix or "data") + ".request", definition={'type': 'string', 'maxLength': 64}, rule='maxLength')
        if "attempt" in data_keys:
            data_keys.remove("attempt")
            data__attempt = data["attempt"]
            if not isinstance(data__attempt, (int)) and not (isinstance(data__attempt, float) and data__attempt.is_integer()) or isinstance(data__attempt, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be integer", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__attempt, (int, float, Decimal)) and not isinstance(data__attempt, bool):
                if data__attempt < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".attempt must be bigger than or equal to 0", value=data__attempt, name="" + (name_prefix or "data") + ".attempt", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "stage_index" in data_keys:
            data_keys.remove("stage_index")
            data__stageindex = data["stage_index"]
            if not isinstance(data__stageindex, (int)) and not (isinstance(data__stageindex, float) and data__stageindex.is_integer()) or isinstance(data__stageindex, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".stage_index must be integer", value=data__stageindex, name="" + (name_prefix or "data") + ".stage_index", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__stageindex, (int, float, Decimal)) and not isinstance(data__stageindex, bool):
                if data__stageindex < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".stage_index must be bigger than or equal to 0", value=data__stageindex, name="" + (name_prefix or "data") + ".stage_index", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "chain" in data_keys:
            data_keys.remove("chain")
            data__chain = data["chain"]
            if not isinstance(data__chain, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain must be array", value=data__chain, name="" + (name_prefix or "data") + ".chain", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'minItems': 1, 'maxItems': 64}, rule='type')
            data__chain_is_list = isinstance(data__chain, (list, tuple))
            if data__chain_is_list:
                data__chain_len = len(data__chain)
                if data__chain_len < 1:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain must contain at least 1 items", value=data__chain, name="" + (name_prefix or "data") + ".chain", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'minItems': 1, 'maxItems': 64}, rule='minItems')
                if data__chain_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain must contain less than or equal to 64 items", value=data__chain, name="" + (name_prefix or "data") + ".chain", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'minItems': 1, 'maxItems': 64}, rule='maxItems')
                for data__chain_x, data__chain_item in enumerate(data__chain):
                    if not isinstance(data__chain_item, (dict)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}]".format(**locals()) + " must be object", value=data__chain_item, name="" + (name_prefix or "data") + ".chain[{data__chain_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, rule='type')
                    data__chain_item_is_dict = isinstance(data__chain_item, dict)
                    if data__chain_item_is_dict:
                        data__chain_item__missing_keys = set(['target', 'host', 'port', 'first_layer', 'end_layer']) - data__chain_item.keys()
                        if data__chain_item__missing_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}]".format(**locals()) + " must contain " + (str(sorted(data__chain_item__missing_keys)) + " properties"), value=data__chain_item, name="" + (name_prefix or "data") + ".chain[{data__chain_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, rule='required')
                        data__chain_item_keys = set(data__chain_item.keys())
                        if "target" in data__chain_item_keys:
                            data__chain_item_keys.remove("target")
                            data__chain_item__target = data__chain_item["target"]
                            if not isinstance(data__chain_item__target, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].target".format(**locals()) + " must be string", value=data__chain_item__target, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].target".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "host" in data__chain_item_keys:
                            data__chain_item_keys.remove("host")
                            data__chain_item__host = data__chain_item["host"]
                            if not isinstance(data__chain_item__host, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].host".format(**locals()) + " must be string", value=data__chain_item__host, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].host".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "port" in data__chain_item_keys:
                            data__chain_item_keys.remove("port")
                            data__chain_item__port = data__chain_item["port"]
                            if not isinstance(data__chain_item__port, (int)) and not (isinstance(data__chain_item__port, float) and data__chain_item__port.is_integer()) or isinstance(data__chain_item__port, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].port".format(**locals()) + " must be integer", value=data__chain_item__port, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].port".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__chain_item__port, (int, float, Decimal)) and not isinstance(data__chain_item__port, bool):
                                if data__chain_item__port < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].port".format(**locals()) + " must be bigger than or equal to 0", value=data__chain_item__port, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].port".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "first_layer" in data__chain_item_keys:
                            data__chain_item_keys.remove("first_layer")
                            data__chain_item__firstlayer = data__chain_item["first_layer"]
                            if not isinstance(data__chain_item__firstlayer, (int)) and not (isinstance(data__chain_item__firstlayer, float) and data__chain_item__firstlayer.is_integer()) or isinstance(data__chain_item__firstlayer, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].first_layer".format(**locals()) + " must be integer", value=data__chain_item__firstlayer, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].first_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__chain_item__firstlayer, (int, float, Decimal)) and not isinstance(data__chain_item__firstlayer, bool):
                                if data__chain_item__firstlayer < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].first_layer".format(**locals()) + " must be bigger than or equal to 0", value=data__chain_item__firstlayer, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].first_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "end_layer" in data__chain_item_keys:
                            data__chain_item_keys.remove("end_layer")
                            data__chain_item__endlayer = data__chain_item["end_layer"]
                            if not isinstance(data__chain_item__endlayer, (int)) and not (isinstance(data__chain_item__endlayer, float) and data__chain_item__endlayer.is_integer()) or isinstance(data__chain_item__endlayer, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].end_layer".format(**locals()) + " must be integer", value=data__chain_item__endlayer, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].end_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__chain_item__endlayer, (int, float, Decimal)) and not isinstance(data__chain_item__endlayer, bool):
                                if data__chain_item__endlayer < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}].end_layer".format(**locals()) + " must be bigger than or equal to 0", value=data__chain_item__endlayer, name="" + (name_prefix or "data") + ".chain[{data__chain_x}].end_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if data__chain_item_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".chain[{data__chain_x}]".format(**locals()) + " must not contain "+str(data__chain_item_keys)+" properties", value=data__chain_item, name="" + (name_prefix or "data") + ".chain[{data__chain_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, rule='additionalProperties')
        if "alternates" in data_keys:
            data_keys.remove("alternates")
            data__alternates = data["alternates"]
            if not isinstance(data__alternates, (list, tuple)):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates must be array", value=data__alternates, name="" + (name_prefix or "data") + ".alternates", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 64}, rule='type')
            data__alternates_is_list = isinstance(data__alternates, (list, tuple))
            if data__alternates_is_list:
                data__alternates_len = len(data__alternates)
                if data__alternates_len > 64:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates must contain less than or equal to 64 items", value=data__alternates, name="" + (name_prefix or "data") + ".alternates", definition={'type': 'array', 'items': {'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, 'maxItems': 64}, rule='maxItems')
                for data__alternates_x, data__alternates_item in enumerate(data__alternates):
                    if not isinstance(data__alternates_item, (dict)):
                        raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}]".format(**locals()) + " must be object", value=data__alternates_item, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, rule='type')
                    data__alternates_item_is_dict = isinstance(data__alternates_item, dict)
                    if data__alternates_item_is_dict:
                        data__alternates_item__missing_keys = set(['target', 'host', 'port', 'first_layer', 'end_layer']) - data__alternates_item.keys()
                        if data__alternates_item__missing_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}]".format(**locals()) + " must contain " + (str(sorted(data__alternates_item__missing_keys)) + " properties"), value=data__alternates_item, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, rule='required')
                        data__alternates_item_keys = set(data__alternates_item.keys())
                        if "target" in data__alternates_item_keys:
                            data__alternates_item_keys.remove("target")
                            data__alternates_item__target = data__alternates_item["target"]
                            if not isinstance(data__alternates_item__target, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].target".format(**locals()) + " must be string", value=data__alternates_item__target, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].target".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "host" in data__alternates_item_keys:
                            data__alternates_item_keys.remove("host")
                            data__alternates_item__host = data__alternates_item["host"]
                            if not isinstance(data__alternates_item__host, (str)):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].host".format(**locals()) + " must be string", value=data__alternates_item__host, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].host".format(**locals()) + "", definition={'type': 'string'}, rule='type')
                        if "port" in data__alternates_item_keys:
                            data__alternates_item_keys.remove("port")
                            data__alternates_item__port = data__alternates_item["port"]
                            if not isinstance(data__alternates_item__port, (int)) and not (isinstance(data__alternates_item__port, float) and data__alternates_item__port.is_integer()) or isinstance(data__alternates_item__port, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].port".format(**locals()) + " must be integer", value=data__alternates_item__port, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].port".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__alternates_item__port, (int, float, Decimal)) and not isinstance(data__alternates_item__port, bool):
                                if data__alternates_item__port < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].port".format(**locals()) + " must be bigger than or equal to 0", value=data__alternates_item__port, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].port".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "first_layer" in data__alternates_item_keys:
                            data__alternates_item_keys.remove("first_layer")
                            data__alternates_item__firstlayer = data__alternates_item["first_layer"]
                            if not isinstance(data__alternates_item__firstlayer, (int)) and not (isinstance(data__alternates_item__firstlayer, float) and data__alternates_item__firstlayer.is_integer()) or isinstance(data__alternates_item__firstlayer, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].first_layer".format(**locals()) + " must be integer", value=data__alternates_item__firstlayer, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].first_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__alternates_item__firstlayer, (int, float, Decimal)) and not isinstance(data__alternates_item__firstlayer, bool):
                                if data__alternates_item__firstlayer < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].first_layer".format(**locals()) + " must be bigger than or equal to 0", value=data__alternates_item__firstlayer, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].first_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if "end_layer" in data__alternates_item_keys:
                            data__alternates_item_keys.remove("end_layer")
                            data__alternates_item__endlayer = data__alternates_item["end_layer"]
                            if not isinstance(data__alternates_item__endlayer, (int)) and not (isinstance(data__alternates_item__endlayer, float) and data__alternates_item__endlayer.is_integer()) or isinstance(data__alternates_item__endlayer, bool):
                                raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].end_layer".format(**locals()) + " must be integer", value=data__alternates_item__endlayer, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].end_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='type')
                            if isinstance(data__alternates_item__endlayer, (int, float, Decimal)) and not isinstance(data__alternates_item__endlayer, bool):
                                if data__alternates_item__endlayer < 0:
                                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}].end_layer".format(**locals()) + " must be bigger than or equal to 0", value=data__alternates_item__endlayer, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}].end_layer".format(**locals()) + "", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
                        if data__alternates_item_keys:
                            raise JsonSchemaValueException("" + (name_prefix or "data") + ".alternates[{data__alternates_x}]".format(**locals()) + " must not contain "+str(data__alternates_item_keys)+" properties", value=data__alternates_item, name="" + (name_prefix or "data") + ".alternates[{data__alternates_x}]".format(**locals()) + "", definition={'type': 'object', 'additionalProperties': False, 'required': ['target', 'host', 'port', 'first_layer', 'end_layer'], 'properties': {'target': {'type': 'string'}, 'host': {'type': 'string'}, 'port': {'type': 'integer', 'minimum': 0}, 'first_layer': {'type': 'integer', 'minimum': 0}, 'end_layer': {'type': 'integer', 'minimum': 0}}}, rule='additionalProperties')
        if "config_version" in data_keys:
            data_keys.remove("config_version")
            data__configversion = data["config_version"]
            if not isinstance(data__configversion, (int)) and not (isinstance(data__configversion, float) and data__configversion.is_integer()) or isinstance(data__configversion, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".config_version must be integer", value=data__configversion, name="" + (name_prefix or "data") + ".config_version", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__configversion, (int, float, Decimal)) and not isinstance(data__configversion, bool):
                if data__configversion < 0:
                    raise JsonSchemaValueException("" + (name_prefix or "data") + ".config_version must be bigger than or equal to 0", value=data__configversion, name="" + (name_prefix or "data") + ".config_version", definition={'type': 'integer', 'minimum': 0}, rule='minimum')
        if "priority" in data_keys:
            data_keys.remove("priority")
            data__priority = data["priority"]
            if not isinstance(data__priority, (int)) and not (isinstance(data__priority, float) and data__priority.is_integer()) or isinstance(data__priority, bool):
                raise JsonSchemaValueException("" + (name_prefix or "data") + ".priority must be integer", value=data__priority, name="" + (name_prefix or "data") + ".priority", definition={'type': 'integer', 'minimum': 0}, rule='type')
            if isinstance(data__priority, (int, float, Decimal)) and not isinstance(data__priority, bool):
                if data__priority < 0:
